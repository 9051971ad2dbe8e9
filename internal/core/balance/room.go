package balance

import "time"

// fullShare is the fraction of an engine's slots from which on it is considered full. The
// rest is headroom for requests that other gateways have sent but not yet reported:
// beyond its slots an engine interrupts running streams.
const fullShare = 0.9

// withRoom excludes engines that are nearly full while others have room. Plain services
// have a queue of their own and are never excluded.
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
