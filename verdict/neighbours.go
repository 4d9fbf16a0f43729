package verdict

import (
	"slices"

	"github.com/zeebo/xxh3"
)

// Neighbours returns the routers that self keeps links to. The routers form a ring ordered by the hash of their names,
// and each links to those 1, 2, 4, 8 and so on places ahead. Every router reaches every other over at most Hops links,
// whether it follows them all forward or all backward. A router that joins or leaves changes only a few links of a few
// routers.
func Neighbours(self string, members []string) (neighbours []string) {
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
	position := slices.Index(ring, self)
	for step := 1; step < len(ring); step *= 2 {
		neighbours = append(neighbours, ring[(position+step)%len(ring)])
	}
	return neighbours
}
