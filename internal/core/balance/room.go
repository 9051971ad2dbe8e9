package balance

import "time"

// fullShare is the part of an engine's slots from which on it is taken to be full.
// The rest is for what other gateways send before they have told of it: beyond its
// slots an engine breaks into streams that run.
const fullShare = 0.9

// withRoom leaves out the engines that are nearly full while others have room. Plain
// services work through a queue of their own.
func (p *pool) withRoom(now time.Time, list []*upstream) []*upstream {
	if p.engine == nil {
		return list
	}
	var room []*upstream
	for _, u := range list {
		if u.inFlight(now) < fullShare*float64(u.Slots) || u.Slots == 0 {
			room = append(room, u)
		}
	}
	if len(room) == 0 {
		return list
	}
	return room
}
