package verdict

import (
	"slices"

	"github.com/zeebo/xxh3"
)

// Neighbours are whom a router keeps links to: routers stand in a ring by the hash of their names, and each reaches those 1, 2, 4 and so on places ahead. From everybody to everybody it is
// Hops at the most, also against the links' direction; a router that comes or goes changes a few links of a few.
func Neighbours(self string, members []string) (list []string) {
	ring := make([]string, 0, len(members)+1)
	for _, m := range members {
		if m != self {
			ring = append(ring, m)
		}
	}
	ring = append(ring, self)
	slices.SortFunc(ring, func(a, b string) int {
		x, y := xxh3.HashString(a), xxh3.HashString(b)
		switch {
		case x < y || x == y && a < b:
			return -1
		case x > y || a > b:
			return 1
		}
		return 0
	})
	at := slices.Index(ring, self)
	for step := 1; step < len(ring); step *= 2 {
		list = append(list, ring[(at+step)%len(ring)])
	}
	return list
}
