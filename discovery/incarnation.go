package discovery

import "strconv"

// Incarnation identifies one run of a server process. A server may return under the same ID with
// a later start time; what was observed of the earlier run does not apply to the new one.
type Incarnation struct {
	ID string
	// Born is the start time that the server reports, in milliseconds of Unix time; zero is unknown.
	Born int64
}

// String returns the ID, followed by the start time if it is known.
func (i Incarnation) String() string {
	if i.Born == 0 {
		return i.ID
	}
	return i.ID + "@" + strconv.FormatInt(i.Born, 10)
}

// Incarnation returns the incarnation of the server.
func (s Server) Incarnation() Incarnation { return Incarnation{ID: s.ID, Born: s.Born} }
