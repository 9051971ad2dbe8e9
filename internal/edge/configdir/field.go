package configdir

import (
	"strconv"
	"strings"
)

// splitField splits "classes[3].tier" into "classes", 3 and ".tier".
func splitField(field string) (list string, index int, rest string, ok bool) {
	open := strings.IndexByte(field, '[')
	end := strings.IndexByte(field, ']')
	if open < 0 || end < open {
		return "", 0, "", false
	}
	index, err := strconv.Atoi(field[open+1 : end])
	if err != nil {
		return "", 0, "", false
	}
	return field[:open], index, field[end+1:], true
}

// quotedName returns the name in a field such as organisations["hall"].weight.
func quotedName(field string) (string, bool) {
	rest, ok := strings.CutPrefix(field, `organisations["`)
	if !ok {
		return "", false
	}
	name, _, ok := strings.Cut(rest, `"]`)
	return name, ok
}
