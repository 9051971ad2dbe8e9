package suspects

import (
	"time"

	"github.com/gladegauge/gladegauge/internal/core/suspect"
	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
)

// encode returns the encoded message; nil if it is empty.
func encode(now time.Time, m suspect.Message) *gladegaugev1.SuspectWords {
	if m.Empty() {
		return nil
	}
	msg := &gladegaugev1.SuspectWords{
		Epoch: m.Upto.Epoch, After: m.After.At, Upto: m.Upto.At,
		HeardEpoch: m.Heard.Epoch, Heard: m.Heard.At,
	}
	for _, o := range m.Words {
		msg.Words = append(msg.Words, &gladegaugev1.SuspectWord{
			Print: o.Print[:], Round: o.Round, Start: o.Start, Witness: o.Witness,
			AgeMs: uint32(max(0, now.Sub(o.At).Milliseconds())),
			RanMs: uint32(max(0, o.Ran.Milliseconds())),
		})
	}
	return msg
}

// decode returns the decoded message without observations whose fingerprints are invalid.
func decode(now time.Time, msg *gladegaugev1.SuspectWords) suspect.Message {
	m := suspect.Message{
		After: suspect.Position{Epoch: msg.GetEpoch(), At: msg.GetAfter()},
		Upto:  suspect.Position{Epoch: msg.GetEpoch(), At: msg.GetUpto()},
		Heard: suspect.Position{Epoch: msg.GetHeardEpoch(), At: msg.GetHeard()},
	}
	for _, o := range msg.GetWords() {
		if len(o.GetPrint()) != len(suspect.Print{}) {
			continue
		}
		m.Words = append(m.Words, suspect.Observation{
			Print: suspect.Print(o.GetPrint()), Round: o.GetRound(), Start: o.GetStart(), Witness: o.GetWitness(),
			At:  now.Add(-time.Duration(o.GetAgeMs()) * time.Millisecond),
			Ran: time.Duration(o.GetRanMs()) * time.Millisecond,
		})
	}
	return m
}
