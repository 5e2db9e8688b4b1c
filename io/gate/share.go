package gate

// countShare counts the request for the fair shares of its service, if the configuration has organisations. A resumed stream
// has been admitted already, so that shares don't restrict it; elsewhere the id of a last event has no effect.
func (x *exchange) countShare() {
	x.room = 1
	if x.table.Orgs == nil {
		return
	}
	room := x.gate.shares.Arrive(x.service, x.organisation)
	if x.call.LastEventID == "" || !x.route.Resumable {
		x.room = room
	}
}

// countRefusal counts the request as refused for lack of capacity.
func (x *exchange) countRefusal() {
	if x.table.Orgs == nil {
		return
	}
	x.gate.shares.Refuse(x.service, x.organisation)
	if x.room < 1 {
		x.count("share refusals")
	}
}

// isHeldBack reports whether the request isn't sent, because its organisation has had its share and all upstreams of the plain
// service are full, as far as this entry knows. One that has just rejected a request counts as full.
func (x *exchange) isHeldBack() bool {
	if x.room >= 1 {
		return false
	}
	isFull := false
	for _, u := range x.gate.snapshot.Load().services[x.service] {
		if !u.isUsable() || u.isLeaving() {
			continue
		}
		if !u.isPaused() && x.gate.hasFreeSlot(u) {
			return false
		}
		isFull = true
	}
	return isFull
}
