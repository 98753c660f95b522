package overload

// order is an order in which items are linked.
type order int

const (
	byArrival order = iota // all items of a lane
	inFlow                 // the items of one flow in a lane
	orders
)

// itemLinks are the neighbors of an item in a list.
type itemLinks struct{ next, prev *Item }

// itemList is a doubly linked list of items in the order in which they were added.
type itemList struct {
	order       order
	first, last *Item
}

func (l *itemList) push(i *Item) {
	i.links[l.order] = itemLinks{prev: l.last}
	if l.last != nil {
		l.last.links[l.order].next = i
	} else {
		l.first = i
	}
	l.last = i
}

func (l *itemList) remove(i *Item) {
	links := i.links[l.order]
	if links.prev != nil {
		links.prev.links[l.order].next = links.next
	} else {
		l.first = links.next
	}
	if links.next != nil {
		links.next.links[l.order].prev = links.prev
	} else {
		l.last = links.prev
	}
	i.links[l.order] = itemLinks{}
}

// Flow is a set of requests that have turns together in a [Queue], such as the requests of one connection, so that a
// client with many requests does not delay those of others. The zero value is ready for use.
type Flow struct{ turns []*turn }

// turn is the part of a flow that is in one lane. It is free for use in any lane while it has no items.
type turn struct {
	items      itemList
	lane       *lane // nil: free
	next, prev *turn // in the lane's order of turns
}

// turnIn returns the flow's turn in a lane.
func (f *Flow) turnIn(l *lane) *turn {
	var free *turn
	for _, t := range f.turns {
		if t.lane == l {
			return t
		}
		if t.lane == nil {
			free = t
		}
	}
	if free == nil {
		free = &turn{items: itemList{order: inFlow}}
		f.turns = append(f.turns, free)
	}
	return free
}

// lane holds the items of one band and front.
type lane struct {
	items       itemList // all, by arrival
	first, last *turn    // of the flows with items, in the order of their turns
}

func (l *lane) push(i *Item) {
	flow := i.Flow
	if flow == nil {
		flow = &i.ownFlow
	}
	t := flow.turnIn(l)
	i.lane, i.turn = l, t
	l.items.push(i)
	t.items.push(i)
	if t.lane == nil {
		t.lane = l
		l.pushTurn(t)
	}
}

func (l *lane) remove(i *Item) {
	t := i.turn
	l.items.remove(i)
	t.items.remove(i)
	i.lane, i.turn = nil, nil
	if t.items.first == nil {
		l.removeTurn(t)
		t.lane = nil
	}
}

// oldest returns the item that was added first; nil if there is none.
func (l *lane) oldest() *Item { return l.items.first }

// next returns the first item of the flow whose turn it is, and gives the turn to the next flow; nil if there is none.
func (l *lane) next() *Item {
	t := l.first
	if t == nil {
		return nil
	}
	l.removeTurn(t)
	l.pushTurn(t)
	return t.items.first
}

func (l *lane) pushTurn(t *turn) {
	t.prev, t.next = l.last, nil
	if l.last != nil {
		l.last.next = t
	} else {
		l.first = t
	}
	l.last = t
}

func (l *lane) removeTurn(t *turn) {
	if t.prev != nil {
		t.prev.next = t.next
	} else {
		l.first = t.next
	}
	if t.next != nil {
		t.next.prev = t.prev
	} else {
		l.last = t.prev
	}
	t.next, t.prev = nil, nil
}
