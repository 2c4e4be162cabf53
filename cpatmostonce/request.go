package cpatmostonce

import "github.com/clementineport/clementineport"

// Sizes in bytes of the parts of a kept answer, excluding strings.
const (
	answerBytes  = 192
	hitBytes     = 40
	coveredBytes = 4
	missingBytes = 8
)

// Pending is a run in progress, for whose outcome resends of the request wait.
type Pending struct {
	done   chan struct{}
	answer *clementineport.Answer
	err    error
}

// Done returns a channel that is closed when the run has ended.
func (p *Pending) Done() <-chan struct{} { return p.done }

// Outcome returns the outcome of the run. It must be called only after Done is closed.
func (p *Pending) Outcome() (*clementineport.Answer, error) { return p.answer, p.err }

// request is the state of one request id. It is reduced to the verdict when its answer is dropped.
type request struct {
	pending *Pending
	answer  *clementineport.Answer
	size    int
	verdict clementineport.Verdict
	fault   clementineport.Fault
	failed  bool
	expired bool
}

func (q *request) end(answer *clementineport.Answer, err error) {
	p := q.pending
	p.answer, p.err = answer, err
	q.pending = nil
	q.answer = answer
	q.size = sizeOf(answer)
	q.failed = err != nil
	q.fault = clementineport.FaultOf(err)
	q.verdict = clementineport.VerdictOf(err)
	if answer != nil {
		q.verdict = answer.Verdict
	}
	close(p.done)
}

func (q *request) decision() Decision {
	if q.pending != nil {
		return Decision{Kind: Join, Pending: q.pending}
	}
	d := Decision{Kind: Done, Verdict: q.verdict, Answer: q.answer}
	switch {
	case q.failed:
		d.Err = clementineport.Fail(q.fault, "the first run of the request failed")
	case q.answer == nil:
		d.Err = clementineport.Fail(clementineport.FaultDuplicate, "the request was run before and its answer is no longer kept")
	}
	return d
}

func sizeOf(a *clementineport.Answer) int {
	if a == nil {
		return 0
	}
	n := answerBytes + len(a.Covered)*coveredBytes + len(a.Missing)*missingBytes
	for i := range a.Hits {
		n += hitBytes + len(a.Hits[i].Record) + len(a.Hits[i].Fields)
	}
	return n
}
