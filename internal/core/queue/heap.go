package queue

// indexedHeap is a binary heap that reports each element's current index through
// the index function, so that elements can be fixed or removed in place.
type indexedHeap[T any] struct {
	items []T
	less  func(a, b T) bool
	index func(T, int)
}

// notInHeap is the index of an element that is not in the heap.
const notInHeap = -1

func (h *indexedHeap[T]) len() int { return len(h.items) }

func (h *indexedHeap[T]) first() T { return h.items[0] }

func (h *indexedHeap[T]) push(v T) {
	h.items = append(h.items, v)
	i := len(h.items) - 1
	h.index(v, i)
	h.up(i)
}

func (h *indexedHeap[T]) remove(i int) {
	last := len(h.items) - 1
	h.swap(i, last)
	h.index(h.items[last], notInHeap)
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	if i < last {
		h.fix(i)
	}
}

func (h *indexedHeap[T]) fix(i int) {
	if !h.down(i) {
		h.up(i)
	}
}

func (h *indexedHeap[T]) swap(i, j int) {
	if i == j {
		return
	}
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.index(h.items[i], i)
	h.index(h.items[j], j)
}

func (h *indexedHeap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.items[i], h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *indexedHeap[T]) down(i int) bool {
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
