package front

import "github.com/prometheus/client_golang/prometheus"

// rolloutCollector exports the metrics of roll-outs.
type rolloutCollector struct{ rollouts *rolloutManager }

var (
	exposureSentDesc = prometheus.NewDesc("banksail_rollout_given",
		"Requests that the target of a roll-out got from this node.", []string{"service", "version"}, nil)
	exposureAllowedDesc = prometheus.NewDesc("banksail_rollout_allowed",
		"Requests that the target of a roll-out may have got from this node before a decision.", []string{"service", "version"}, nil)
	rolloutAnswersDesc = prometheus.NewDesc("banksail_rollout_answers",
		"Answers of the target of a roll-out that this node was told of, by result.", []string{"service", "version", "result"}, nil)
	rolloutAgeDesc = prometheus.NewDesc("banksail_rollout_age_seconds",
		"How old the order of a roll-out that has not ended is at most.", []string{"service", "version"}, nil)
	rolloutPhaseDesc = prometheus.NewDesc("banksail_rollout_phase",
		"1 for the phase of a service's last roll-out.", []string{"service", "version", "phase"}, nil)
)

// Describe implements prometheus.Collector.
func (c *rolloutCollector) Describe(descriptions chan<- *prometheus.Desc) {
	for _, description := range []*prometheus.Desc{exposureSentDesc, exposureAllowedDesc, rolloutAnswersDesc, rolloutAgeDesc, rolloutPhaseDesc} {
		descriptions <- description
	}
}

// Collect implements prometheus.Collector.
func (c *rolloutCollector) Collect(metrics chan<- prometheus.Metric) {
	gauge := func(description *prometheus.Desc, value float64, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(description, prometheus.GaugeValue, value, labels...)
	}
	for _, exposure := range c.rollouts.front.gateway.RolloutExposures() {
		gauge(exposureSentDesc, float64(exposure.Sent), exposure.Service, exposure.Target)
		gauge(exposureAllowedDesc, exposure.Allowed, exposure.Service, exposure.Target)
	}
	c.rollouts.mutex.Lock()
	defer c.rollouts.mutex.Unlock()
	now := c.rollouts.now()
	for service, state := range c.rollouts.states {
		if !state.Ended() {
			gauge(rolloutAgeDesc, state.Age(now).Seconds(), service, state.Target)
		}
		if state.Record == nil {
			continue
		}
		gauge(rolloutPhaseDesc, 1, service, state.Record.Target, string(state.Record.Phase))
		if decider := c.rollouts.deciders[service]; decider != nil {
			answers, bad := decider.Judge().Answers()
			gauge(rolloutAnswersDesc, float64(answers-bad), service, state.Record.Target, "good")
			gauge(rolloutAnswersDesc, float64(bad), service, state.Record.Target, "bad")
		}
	}
}
