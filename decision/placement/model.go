package placement

import (
	"time"

	"jaylink/decision/workmodel"
)

// prediction is what the work model predicts for a request on an upstream, with what it was
// asked.
type prediction struct {
	workmodel.Prediction
	work   workmodel.Work
	beside workmodel.Beside
}

func (p *prediction) firstMs() float64 { return float64(p.First) / float64(time.Millisecond) }

// predict returns what the work model predicts for a request on an upstream that has some
// tokens of its prompt cached.
func (t *Table) predict(now time.Time, r *Request, s *upstreamState, cached int) prediction {
	p := prediction{work: workOf(r, cached), beside: s.beside(now)}
	p.Prediction = t.model.Predict(s.instance, &p.work, p.beside)
	return p
}

// workOf returns the properties of a request that the work model needs.
func workOf(r *Request, cached int) workmodel.Work {
	w := workmodel.Work{
		Service: r.Service.Name, Route: r.Route, Customer: r.Customer,
		Unread: max(r.Prompt.Input-cached, 0), Prompt: r.Prompt.Input,
		MaxOutput: r.Prompt.MaxOutput, LengthHint: r.Prompt.LengthHint,
	}
	if shared := r.Prompt.Shared(); len(shared) > 0 {
		w.Shared = shared[len(shared)-1].Hash
	}
	return w
}

// beside returns the load on an upstream.
func (s *upstreamState) beside(now time.Time) workmodel.Beside {
	b := workmodel.Beside{
		Running: s.running(now), Slots: s.Slots,
		Unread: s.remainingUnread(now) + s.peerLoad.PrefillTokens, Memory: s.ownLoad.Memory + s.peerLoad.Memory,
	}
	if s.slow.usual > 0 {
		b.Percent = 100 * s.slow.factor(now)
	}
	return b
}

// addPrediction records the prediction for the chosen upstream.
func (c *Choice) addPrediction(p prediction) {
	c.PredictedHigh, c.Pause, c.PauseHigh = p.FirstHigh, p.Pause, p.PauseHigh
	c.work, c.beside, c.Slowdown = p.work, p.beside, p.beside.Percent/100
}
