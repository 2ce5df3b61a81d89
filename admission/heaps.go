package admission

// before reports whether w is served before other.
func (w *waiting) before(other *waiting) bool {
	if w.key != other.key {
		return w.key.Less(other.key)
	}
	return w.sequence < other.sequence
}

// classQueue is a heap of one class's queries, the next to serve first.
type classQueue []*waiting

// Len implements heap.Interface.
func (c classQueue) Len() int { return len(c) }

// Less implements heap.Interface.
func (c classQueue) Less(i, j int) bool { return c[i].before(c[j]) }

// Swap implements heap.Interface.
func (c classQueue) Swap(i, j int) {
	c[i], c[j] = c[j], c[i]
	c[i].place, c[j].place = i, j
}

// Push implements heap.Interface.
func (c *classQueue) Push(x any) {
	w := x.(*waiting)
	w.place = len(*c)
	*c = append(*c, w)
}

// Pop implements heap.Interface.
func (c *classQueue) Pop() any {
	old := *c
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*c = old[:len(old)-1]
	return w
}

// expiryHeap is a heap of all queries, the first to expire first.
type expiryHeap []*waiting

// Len implements heap.Interface.
func (e expiryHeap) Len() int { return len(e) }

// Less implements heap.Interface.
func (e expiryHeap) Less(i, j int) bool {
	if e[i].expires != e[j].expires {
		return e[i].expires < e[j].expires
	}
	return e[i].sequence < e[j].sequence
}

// Swap implements heap.Interface.
func (e expiryHeap) Swap(i, j int) {
	e[i], e[j] = e[j], e[i]
	e[i].expiryPlace, e[j].expiryPlace = i, j
}

// Push implements heap.Interface.
func (e *expiryHeap) Push(x any) {
	w := x.(*waiting)
	w.expiryPlace = len(*e)
	*e = append(*e, w)
}

// Pop implements heap.Interface.
func (e *expiryHeap) Pop() any {
	old := *e
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*e = old[:len(old)-1]
	return w
}
