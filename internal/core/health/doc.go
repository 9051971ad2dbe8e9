// Package health holds what the answers of one start of an upstream show of it, to this
// gateway and to others, and says whether others should go first.
//
// Evidence is what became of requests: answers, failures, refusals, and prompts that hang.
// Each gateway judges by its own, and tells the latest of it as one vote. Where most votes
// are against an upstream, all put it last for a time, and then a few of them try it. All of
// it ages by itself. What an upstream says of itself is not here: it goes before judgement,
// in package notice.
//
// # Usage
//
//	s = s.WithBegun(now)
//	s, d := s.WithRefusal(now, full)
//	s, verdict, ok := s.WithVotes(now, told)
//	if s.LeftOut(now) > 0 || s.PutLast(now) {
//		// others go first
//	}
package health
