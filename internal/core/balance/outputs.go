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

// observe records the number of tokens of an answer of the route.
func (o outputs) observe(route string, tokens int) {
	mean, ok := o[route]
	if !ok {
		mean = float64(tokens)
	}
	o[route] = mean + smoothing*(float64(tokens)-mean)
}

// observeOutput records the number of tokens of an answer.
func (p *pool) observeOutput(r *run, tokens int) {
	if r.tokens > 0 {
		p.outputs.observe(r.route, tokens)
	}
}
