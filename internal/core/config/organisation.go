package config

// Organisation is a tenant that sends requests, with its keys, weight and limits.
type Organisation struct {
	Name string
	// Weight is the share relative to other organisations with waiting requests.
	Weight float64
	// Rate is the limit in requests a second over all entries; 0 means no limit.
	Rate  float64
	Burst int

	defaults map[string]string
	keys     []Key
}

// DefaultClass returns the class of requests to target without a class header.
func (o *Organisation) DefaultClass(target string) (string, bool) {
	name, ok := o.defaults[target]
	return name, ok
}
