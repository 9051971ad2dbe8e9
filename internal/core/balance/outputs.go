package balance

// outputs holds the mean number of tokens of an answer, by route.
type outputs map[string]float64

// expected is the expected number of tokens of an answer to the request.
func (o outputs) expected(r Request) float64 {
	if mean, ok := o[r.Route]; ok && r.Prompt.OutputHint == 0 {
		return mean
	}
	return r.Prompt.expectedOutput()
}

// learn records the number of tokens of an answer of the route.
func (o outputs) learn(route string, tokens int) {
	mean, ok := o[route]
	if !ok {
		mean = float64(tokens)
	}
	o[route] = mean + ewmaWeight*(float64(tokens)-mean)
}

// learnOutput records the number of tokens of an answer.
func (p *pool) learnOutput(r *run, tokens int) {
	if r.tokens > 0 {
		p.outputs.learn(r.route, tokens)
	}
}
