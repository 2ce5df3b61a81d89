package routing

import "time"

const (
	// patienceStep is the resolution in which the times are told apart that callers
	// wait: opening a connection takes some of it, too.
	patienceStep = 50 * time.Millisecond
	// patienceKinds is the number of times that are kept apart.
	patienceKinds = 8
	// patienceShare is the part of the callers that must tell a time before it is
	// taken for what callers begin with. It must be over 1/(patienceKinds+1).
	patienceShare = 0.15
	// patienceWitnesses is the least weight of callers that must tell it.
	patienceWitnesses = 3
	// patienceMemory is the number of requests after which weights are halved.
	patienceMemory = 200
	// returnedShare is the part of the time that callers begin with by which that of
	// a caller which tried before is shorter at least.
	returnedShare = 0.02
)

// patience learns how long the callers of a route wait when they first ask. It keeps
// the frequent times by the algorithm of Misra and Gries ("Finding repeated elements",
// 1982), so that few callers that tell nonsense don't sway it.
type patience struct {
	kinds [patienceKinds]struct {
		step  int64
		count float64
	}
	total float64
}

// take notes the time that a caller says it waits.
func (p *patience) take(told time.Duration) {
	step := int64((told + patienceStep - 1) / patienceStep)
	p.total++
	p.count(step)
	if p.total < patienceMemory {
		return
	}
	p.total /= 2
	for i := range p.kinds {
		p.kinds[i].count /= 2
	}
}

func (p *patience) count(step int64) {
	free := -1
	for i := range p.kinds {
		switch {
		case p.kinds[i].count > 0 && p.kinds[i].step == step:
			p.kinds[i].count++
			return
		case p.kinds[i].count <= 0:
			free = i
		}
	}
	if free >= 0 {
		p.kinds[free].step, p.kinds[free].count = step, 1
		return
	}
	for i := range p.kinds {
		p.kinds[i].count--
	}
}

// first is the longest time that a good part of the callers tell; zero when unknown.
func (p *patience) first() time.Duration {
	longest := int64(0)
	for _, kind := range p.kinds {
		if kind.count >= max(patienceShare*p.total, patienceWitnesses) {
			longest = max(longest, kind.step)
		}
	}
	return time.Duration(longest) * patienceStep
}

// returned reports whether a caller that says it waits for the given time has
// probably tried before.
func (p *patience) returned(told time.Duration) bool {
	first := p.first()
	return told > 0 && told < first-max(time.Duration(returnedShare*float64(first)), patienceStep)
}
