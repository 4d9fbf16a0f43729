package router

// This file keeps the IDs of requests that another process of the router has accepted, so that a request which comes
// again at this process doesn't run twice.

// maxUsedElsewhere bounds the IDs of other processes' requests. The oldest ones are forgotten first.
const maxUsedElsewhere = 2 * maxEndedCalls

// usedIDs is a bounded set of IDs.
type usedIDs struct {
	ids   map[string]bool
	order []string // oldest first; some may have been removed from ids
}

// add adds an ID, and removes the oldest one if there are too many.
func (u *usedIDs) add(id string) {
	if u.ids == nil {
		u.ids = map[string]bool{}
	}
	if u.ids[id] {
		return
	}
	u.ids[id] = true
	u.order = append(u.order, id)
	if len(u.order) > maxUsedElsewhere {
		delete(u.ids, u.order[0])
		u.order = u.order[1:]
	}
}

// isUsed reports whether a request with this ID is open, has run or may have run, here or at another process.
func (r *Router) isUsed(id string) bool {
	if r.calls[id] != nil || r.usedElsewhere.ids[id] {
		return true
	}
	ended, known := r.endedCalls[id]
	return known && !ended.reusable
}

// MarkUsed records that another process of the router has accepted a request with this ID. Requests with it are failed
// here.
func (r *Router) MarkUsed(id string) {
	r.serialize(nil, func([]byte) { r.usedElsewhere.add(id) })
}

// MarkReusable records that an ID that another process has used may be used again.
func (r *Router) MarkReusable(id string) {
	r.serialize(nil, func([]byte) { delete(r.usedElsewhere.ids, id) })
}

// UsedIDs returns the IDs that this process knows to be used, for MarkUsed at another one. It must not be called
// concurrently with other methods.
func (r *Router) UsedIDs() []string {
	ids := make([]string, 0, len(r.calls)+len(r.endedCalls)+len(r.usedElsewhere.ids))
	for id := range r.usedElsewhere.ids {
		ids = append(ids, id)
	}
	for id, ended := range r.endedCalls {
		if !ended.reusable {
			ids = append(ids, id)
		}
	}
	for id := range r.calls {
		ids = append(ids, id)
	}
	return ids
}
