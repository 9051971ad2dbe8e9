package suspects

import (
	"time"

	"github.com/gladegauge/gladegauge/internal/core/suspect"
	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
)

// encode returns the message; nil if it says nothing.
func encode(now time.Time, m suspect.Message) *gladegaugev1.SuspectWords {
	if m.Empty() {
		return nil
	}
	msg := &gladegaugev1.SuspectWords{
		Epoch: m.Upto.Epoch, After: m.After.At, Upto: m.Upto.At,
		HeardEpoch: m.Heard.Epoch, Heard: m.Heard.At,
	}
	for _, w := range m.Words {
		msg.Words = append(msg.Words, &gladegaugev1.SuspectWord{
			Print: w.Print[:], Round: w.Round, Start: w.Start, Witness: w.Witness,
			AgeMs: uint32(max(0, now.Sub(w.At).Milliseconds())),
			RanMs: uint32(max(0, w.Ran.Milliseconds())),
		})
	}
	return msg
}

// decode returns what a message says. A word on what is no print is left out.
func decode(now time.Time, msg *gladegaugev1.SuspectWords) suspect.Message {
	m := suspect.Message{
		After: suspect.Position{Epoch: msg.GetEpoch(), At: msg.GetAfter()},
		Upto:  suspect.Position{Epoch: msg.GetEpoch(), At: msg.GetUpto()},
		Heard: suspect.Position{Epoch: msg.GetHeardEpoch(), At: msg.GetHeard()},
	}
	for _, w := range msg.GetWords() {
		if len(w.GetPrint()) != len(suspect.Print{}) {
			continue
		}
		m.Words = append(m.Words, suspect.Observation{
			Print: suspect.Print(w.GetPrint()), Round: w.GetRound(), Start: w.GetStart(), Witness: w.GetWitness(),
			At:  now.Add(-time.Duration(w.GetAgeMs()) * time.Millisecond),
			Ran: time.Duration(w.GetRanMs()) * time.Millisecond,
		})
	}
	return m
}
