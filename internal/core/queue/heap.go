package queue

// indexed is a binary heap whose elements know their place in it.
type indexed[T any] struct {
	items []T
	less  func(a, b T) bool
	place func(T, int)
}

// outside is the place of an element that is not in the heap.
const outside = -1

func (h *indexed[T]) len() int { return len(h.items) }

func (h *indexed[T]) first() T { return h.items[0] }

func (h *indexed[T]) push(v T) {
	h.items = append(h.items, v)
	i := len(h.items) - 1
	h.place(v, i)
	h.up(i)
}

func (h *indexed[T]) remove(i int) {
	last := len(h.items) - 1
	h.swap(i, last)
	h.place(h.items[last], outside)
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	if i < last {
		h.fix(i)
	}
}

func (h *indexed[T]) fix(i int) {
	if !h.down(i) {
		h.up(i)
	}
}

func (h *indexed[T]) swap(i, j int) {
	if i == j {
		return
	}
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.place(h.items[i], i)
	h.place(h.items[j], j)
}

func (h *indexed[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.items[i], h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *indexed[T]) down(i int) bool {
	start := i
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			break
		}
		if right := child + 1; right < len(h.items) && h.less(h.items[right], h.items[child]) {
			child = right
		}
		if !h.less(h.items[child], h.items[i]) {
			break
		}
		h.swap(i, child)
		i = child
	}
	return i > start
}
