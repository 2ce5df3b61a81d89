package discovery

import "strconv"

// Incarnation names one life of a server: an ID may return with a later start, and what was
// learned of the life before says nothing of the one after.
type Incarnation struct {
	ID string
	// Born is when it started, in milliseconds of Unix time as the server tells; zero is unknown.
	Born int64
}

// String is the ID, with the start where that is known.
func (i Incarnation) String() string {
	if i.Born == 0 {
		return i.ID
	}
	return i.ID + "@" + strconv.FormatInt(i.Born, 10)
}

// Incarnation names the server's life.
func (s Server) Incarnation() Incarnation { return Incarnation{ID: s.ID, Born: s.Born} }
