package ledger

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"github.com/gaissmai/bart"
	iradix "github.com/hashicorp/go-immutable-radix/v2"
)

// Unassigned is the tenant of calls that no rule fits.
const Unassigned = "unassigned"

// Source is a way to tell a call's tenant.
type Source string

// Sources, in the order that holds unless the settings give another.
const (
	Stated     Source = "stated"   // what the embedding program, or the set-up itself, says
	ByIdentity Source = "identity" // the SPIFFE id of the call-control session
	ByNetwork  Source = "network"  // the caller's address, by longest match
	ByNumber   Source = "number"   // the number called, by longest prefix
)

// Sources is all of them in that order.
var Sources = []Source{Stated, ByIdentity, ByNetwork, ByNumber}

// Rule says which calls are a tenant's.
type Rule struct {
	Tenant     string
	Networks   []string // such as 10.4.0.0/16 or 10.4.7.9
	Identities []string // SPIFFE ids; one that ends in /* stands for all below it
	Numbers    []string // beginnings of the numbers called
}

// RuleError is what is wrong with one value of a rule.
type RuleError struct {
	Rule  int // index
	Field string
	Text  string
}

func (e *RuleError) Error() string {
	return fmt.Sprintf("tenant %d: %s: %s", e.Rule+1, e.Field, e.Text)
}

// Directory tells tenants. It never changes, so that any number of goroutines may use one while the next is made; a look-up
// allocates nothing.
type Directory struct {
	order    []Source
	tenants  []string
	networks bart.Table[int32]
	exact    map[string]int32
	below    *iradix.Tree[int32]
	numbers  *iradix.Tree[int32]
}

// NewDirectory makes a directory; order nil means Sources. The error is a *RuleError where a rule is to blame: two tenants
// may not claim the same network, identity or number.
func NewDirectory(order []Source, rules []Rule) (*Directory, error) {
	if order == nil {
		order = Sources
	}
	for i, s := range order {
		if !slices.Contains(Sources, s) {
			return nil, fmt.Errorf("precedence: %q is none of %v", s, Sources)
		}
		if slices.Contains(order[:i], s) {
			return nil, fmt.Errorf("precedence: %q stands twice", s)
		}
	}
	d := &Directory{order: slices.Clone(order), exact: map[string]int32{}}
	below, numbers := iradix.New[int32]().Txn(), iradix.New[int32]().Txn()
	known := map[string]bool{}
	for i, r := range rules {
		bad := func(field, format string, args ...any) error {
			return &RuleError{i, field, fmt.Sprintf(format, args...)}
		}
		if err := ValidName(r.Tenant); err != nil {
			return nil, bad("name", "%v", err)
		}
		if known[r.Tenant] {
			return nil, bad("name", "%q stands twice", r.Tenant)
		}
		known[r.Tenant] = true
		at := int32(len(d.tenants))
		d.tenants = append(d.tenants, r.Tenant)
		for _, text := range r.Networks {
			p, err := network(text)
			if err != nil {
				return nil, bad("networks", "%q: %v", text, err)
			}
			if other, taken := d.networks.Get(p); taken {
				return nil, bad("networks", "%q is %s's", text, d.tenants[other])
			}
			d.networks.Insert(p, at)
		}
		for _, text := range r.Identities {
			plain, wide := strings.CutSuffix(text, "/*")
			if !strings.HasPrefix(plain, "spiffe://") || len(plain) == len("spiffe://") || strings.ContainsAny(plain, "* ") {
				return nil, bad("identities", "%q is no SPIFFE id", text)
			}
			taken := false
			if wide {
				_, taken = below.Insert([]byte(plain+"/"), at)
			} else if _, taken = d.exact[plain]; !taken {
				d.exact[plain] = at
			}
			if taken {
				return nil, bad("identities", "%q stands twice", text)
			}
		}
		for _, text := range r.Numbers {
			if text == "" || strings.ContainsAny(text, " *@") {
				return nil, bad("numbers", "%q is no beginning of a number", text)
			}
			if _, taken := numbers.Insert([]byte(text), at); taken {
				return nil, bad("numbers", "%q stands twice", text)
			}
		}
	}
	d.below, d.numbers = below.CommitOnly(), numbers.CommitOnly()
	return d, nil
}

// nameMost bytes a name may have in the books.
const nameMost = 128

// ValidName says what keeps text from being a tenant's name.
func ValidName(name string) error {
	if name == "" || len(name) > nameMost {
		return fmt.Errorf("%q has %d bytes, 1 to %d are wanted", name, len(name), nameMost)
	}
	for _, c := range name {
		if c < ' ' || c == 0x7f || c == 0xfffd {
			return fmt.Errorf("%q holds what cannot be printed", name)
		}
	}
	return nil
}

func network(text string) (netip.Prefix, error) {
	if a, err := netip.ParseAddr(text); err == nil {
		return netip.PrefixFrom(a.Unmap(), a.Unmap().BitLen()), nil
	}
	p, err := netip.ParsePrefix(text)
	if err == nil && p != p.Masked() {
		err = fmt.Errorf("has bits beyond its length; %s is meant", p.Masked())
	}
	if err == nil && p.Addr().Is4In6() {
		err = fmt.Errorf("is an IPv4 network in IPv6 form")
	}
	return p, err
}

// Size is how many tenants and networks there are.
func (d *Directory) Size() (tenants, networks int) { return len(d.tenants), d.networks.Size() }

// Precedence lists the sources in their order.
func (d *Directory) Precedence() (list []string) {
	for _, s := range d.order {
		list = append(list, string(s))
	}
	return list
}

// Tenant tells whose call it is: the first source that knows decides.
func (d *Directory) Tenant(stated, identity string, caller netip.Addr, number string) string {
	for _, s := range d.order {
		at, found := int32(0), false
		switch s {
		case Stated:
			if stated != "" && len(stated) <= nameMost {
				return stated
			}
		case ByIdentity:
			if identity == "" {
				continue
			}
			if at, found = d.exact[identity]; !found {
				_, at, found = d.below.Root().LongestPrefix([]byte(identity))
			}
		case ByNetwork:
			if caller.IsValid() {
				at, found = d.networks.Lookup(caller.Unmap())
			}
		case ByNumber:
			if number != "" {
				_, at, found = d.numbers.Root().LongestPrefix([]byte(number))
			}
		}
		if found {
			return d.tenants[at]
		}
	}
	return Unassigned
}
