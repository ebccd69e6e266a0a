package stats

// Population estimates the distribution of a rate in each group of a population from the most recent samples, by
// empirical Bayes with the EM algorithm. The distribution over all groups is the prior of each group; its own prior is
// fixed.
type Population struct {
	Overall Weights // distribution over all groups
	groups  []*Weights
	prior   Weights
	samples []Sample // ring buffer of the most recent samples
	oldest  int      // index of the oldest sample once the buffer is full
}

// NewPopulation returns a population without groups that keeps at most maxSamples samples, which must be at least 1.
// Its overall distribution is the prior until Estimate is called.
func NewPopulation(prior Weights, maxSamples int) *Population {
	return &Population{Overall: prior, prior: prior, samples: make([]Sample, 0, maxSamples)}
}

// AddGroup adds a group and returns its number, counted from 0. The group starts with the present overall distribution.
func (p *Population) AddGroup() int {
	group := p.Overall
	p.groups = append(p.groups, &group)
	return len(p.groups) - 1
}

// Group returns the distribution of a group. Estimate updates it in place.
func (p *Population) Group(group int) *Weights { return p.groups[group] }

// Add records a sample. It replaces the oldest one once the population holds its maximum.
func (p *Population) Add(sample Sample) {
	if len(p.samples) < cap(p.samples) {
		p.samples = append(p.samples, sample)
		return
	}
	p.samples[p.oldest] = sample
	p.oldest = (p.oldest + 1) % len(p.samples)
}

// Estimate updates the distributions from the samples by at most maxIterations of the EM algorithm each. The priors
// count for priorWeight observations of a known rate, which must be above 0.
func (p *Population) Estimate(priorWeight float64, maxIterations int) {
	p.Overall = p.Overall.FitEM(p.samples, AllGroups, &p.prior, priorWeight, maxIterations)
	for i, group := range p.groups {
		*group = group.FitEM(p.samples, i, &p.Overall, priorWeight, maxIterations)
	}
}
