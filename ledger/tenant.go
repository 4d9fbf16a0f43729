package ledger

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"github.com/gaissmai/bart"
	iradix "github.com/hashicorp/go-immutable-radix/v2"
)

// Unassigned is the tenant of calls that match no rule.
const Unassigned = "unassigned"

// Source is a property of a call that determines its tenant.
type Source string

// Sources, in the default precedence.
const (
	Explicit   Source = "stated"   // named by the embedding program or in the set-up
	ByIdentity Source = "identity" // the SPIFFE ID of the call-control session
	ByNetwork  Source = "network"  // the caller's address, by longest prefix
	ByNumber   Source = "number"   // the number called, by longest prefix
)

// Sources lists all sources in the default precedence.
var Sources = []Source{Explicit, ByIdentity, ByNetwork, ByNumber}

// Rule defines which calls belong to a tenant.
type Rule struct {
	Tenant     string
	Networks   []string // prefixes or addresses, such as 10.4.0.0/16 or 10.4.7.9
	Identities []string // SPIFFE IDs; one that ends in /* matches all below it
	Numbers    []string // prefixes of the numbers called
}

// RuleError reports an invalid value of a rule.
type RuleError struct {
	Rule  int    // index
	Field string // "name", "networks", "identities" or "numbers"
	Text  string
}

func (e *RuleError) Error() string {
	return fmt.Sprintf("tenant %d: %s: %s", e.Rule+1, e.Field, e.Text)
}

// Directory determines the tenants of calls. It is immutable and safe for concurrent use; look-ups don't allocate.
type Directory struct {
	precedence       []Source
	tenants          []string
	networks         bart.Table[int32]
	exactIdentities  map[string]int32
	identityPrefixes *iradix.Tree[int32]
	numberPrefixes   *iradix.Tree[int32]
}

// NewDirectory returns a directory of rules that applies the sources in the given order; nil means Sources. Two tenants
// may not have the same network, identity or number. The error for an invalid rule is a *RuleError.
func NewDirectory(order []Source, rules []Rule) (*Directory, error) {
	if order == nil {
		order = Sources
	}
	for i, source := range order {
		if !slices.Contains(Sources, source) {
			return nil, fmt.Errorf("precedence: %q is not one of %v", source, Sources)
		}
		if slices.Contains(order[:i], source) {
			return nil, fmt.Errorf("precedence: %q is listed twice", source)
		}
	}
	directory := &Directory{precedence: slices.Clone(order), exactIdentities: map[string]int32{}}
	identityPrefixes, numberPrefixes := iradix.New[int32]().Txn(), iradix.New[int32]().Txn()
	knownTenants := map[string]bool{}
	for i, rule := range rules {
		invalid := func(field, format string, args ...any) error {
			return &RuleError{i, field, fmt.Sprintf(format, args...)}
		}
		if err := ValidName(rule.Tenant); err != nil {
			return nil, invalid("name", "%v", err)
		}
		if knownTenants[rule.Tenant] {
			return nil, invalid("name", "%q is listed twice", rule.Tenant)
		}
		knownTenants[rule.Tenant] = true
		tenant := int32(len(directory.tenants))
		directory.tenants = append(directory.tenants, rule.Tenant)
		for _, text := range rule.Networks {
			prefix, err := parseNetwork(text)
			if err != nil {
				return nil, invalid("networks", "%q: %v", text, err)
			}
			if other, taken := directory.networks.Get(prefix); taken {
				return nil, invalid("networks", "%q already belongs to tenant %s", text, directory.tenants[other])
			}
			directory.networks.Insert(prefix, tenant)
		}
		for _, text := range rule.Identities {
			identity, wildcard := strings.CutSuffix(text, "/*")
			if !strings.HasPrefix(identity, "spiffe://") || len(identity) == len("spiffe://") ||
				strings.ContainsAny(identity, "* ") {
				return nil, invalid("identities", "%q is not a SPIFFE ID", text)
			}
			taken := false
			if wildcard {
				_, taken = identityPrefixes.Insert([]byte(identity+"/"), tenant)
			} else if _, taken = directory.exactIdentities[identity]; !taken {
				directory.exactIdentities[identity] = tenant
			}
			if taken {
				return nil, invalid("identities", "%q is listed twice", text)
			}
		}
		for _, text := range rule.Numbers {
			if text == "" || strings.ContainsAny(text, " *@") {
				return nil, invalid("numbers", "%q is not a prefix of a number", text)
			}
			if _, taken := numberPrefixes.Insert([]byte(text), tenant); taken {
				return nil, invalid("numbers", "%q is listed twice", text)
			}
		}
	}
	directory.identityPrefixes, directory.numberPrefixes = identityPrefixes.CommitOnly(), numberPrefixes.CommitOnly()
	return directory, nil
}

// maxNameBytes limits the length of a name in the ledger.
const maxNameBytes = 128

// ValidName returns an error if a name is empty, too long or not printable.
func ValidName(name string) error {
	if name == "" || len(name) > maxNameBytes {
		return fmt.Errorf("%q has %d bytes, want 1 to %d", name, len(name), maxNameBytes)
	}
	for _, c := range name {
		if c < ' ' || c == 0x7f || c == 0xfffd {
			return fmt.Errorf("%q contains an unprintable character", name)
		}
	}
	return nil
}

// parseNetwork parses a prefix, or an address as the prefix of that address alone.
func parseNetwork(text string) (netip.Prefix, error) {
	if addr, err := netip.ParseAddr(text); err == nil {
		return netip.PrefixFrom(addr.Unmap(), addr.Unmap().BitLen()), nil
	}
	prefix, err := netip.ParsePrefix(text)
	if err == nil && prefix != prefix.Masked() {
		err = fmt.Errorf("has bits set beyond the prefix length; did you mean %s?", prefix.Masked())
	}
	if err == nil && prefix.Addr().Is4In6() {
		err = fmt.Errorf("is an IPv4-mapped IPv6 network")
	}
	return prefix, err
}

// Size returns the numbers of tenants and networks.
func (d *Directory) Size() (tenants, networks int) { return len(d.tenants), d.networks.Size() }

// Precedence returns the sources in the order in which they apply.
func (d *Directory) Precedence() (list []string) {
	for _, s := range d.precedence {
		list = append(list, string(s))
	}
	return list
}

// Tenant returns the tenant according to the first source that matches, or Unassigned.
func (d *Directory) Tenant(stated, identity string, caller netip.Addr, number string) string {
	for _, source := range d.precedence {
		tenant, found := int32(0), false
		switch source {
		case Explicit:
			if stated != "" && len(stated) <= maxNameBytes {
				return stated
			}
		case ByIdentity:
			if identity == "" {
				continue
			}
			if tenant, found = d.exactIdentities[identity]; !found {
				_, tenant, found = d.identityPrefixes.Root().LongestPrefix([]byte(identity))
			}
		case ByNetwork:
			if caller.IsValid() {
				tenant, found = d.networks.Lookup(caller.Unmap())
			}
		case ByNumber:
			if number != "" {
				_, tenant, found = d.numberPrefixes.Root().LongestPrefix([]byte(number))
			}
		}
		if found {
			return d.tenants[tenant]
		}
	}
	return Unassigned
}
