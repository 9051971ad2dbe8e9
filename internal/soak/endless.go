package soak

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/gladegauge/gladegauge/platform/standin"
)

const (
	// endlessPercent is the percentage of requests that are answered with bytes without end.
	endlessPercent = 3
	// endlessRefusalOneIn is the number of refusals of which one has a body without end.
	endlessRefusalOneIn = 4
)

// endlessAnswer returns an answer with bytes without end to the request, one of those that fit.
func endlessAnswer(req standin.Request, fits func(standin.EndlessAnswer) bool) *standin.EndlessAnswer {
	list := standin.EndlessAnswers(req.ID, expectedBody(kindOf(req.URI), req.ID, ""))
	list = slices.DeleteFunc(list, func(e standin.EndlessAnswer) bool { return !fits(e) })
	return &list[xxhash.Sum64String(req.ID)%uint64(len(list))]
}

// refusal returns the refusal of a request. Some have a body without end.
func refusal(req standin.Request) standin.Reply {
	if xxhash.Sum64String(req.ID)%endlessRefusalOneIn > 0 {
		return standin.Reply{Refuse: true}
	}
	return standin.Reply{Endless: endlessAnswer(req, func(e standin.EndlessAnswer) bool { return e.Refusal })}
}
