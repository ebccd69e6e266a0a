package gateway

import (
	"math"

	"herontiller/internal/budget"
)

// Requests beyond the quotas have a price and are held to a budget. Each request is admitted with a probability that
// depends on its value and its expected excess, at a shadow price that rises and falls with what has been spent. The
// excess of a request is the probability that it is beyond the quota. A shadow price is the value that a request must
// have per unit of its cost to be admitted with certainty.

const (
	// The operators' acceptance limits allow a cost of excess of 0.1 and require that a half of each class's value and
	// a third of the clients of unknown customers are admitted.
	excessBudget        = 0.07 // target cost of excess, as a share of the value within quotas
	minClassAdmission   = 0.50 // least admitted share of a class's value within quotas
	minUnknownAdmission = 0.30 // least admitted share of the clients of unknown customers

	initialPrice   = 4.0   // shadow price at the start
	minPrice       = 1.0   // least shadow price; below 1, more is lost beyond quotas than gained within them
	maxPrice       = 100.0 // highest shadow price
	classPriceStep = 2.0   // largest factor by which the price of a class grows in a second

	maxOffers   = 128        // number of latest requests from which the price is computed
	maxOfferAge = 8 * second // age up to which a request counts for the price
	retryDecay  = 0.1        // share by which the counts of requests, rejections and client retries decay per second
	classWeight = 1.0 / 64   // weight of a request in the admitted share of its class

	sameGatewayRetryShare = 0.5  // share of the client retries that come through the same gateway
	maxRetryShare         = 0.75 // highest share of rejected requests that are retried: 3 of 4, at three retries each

	// priorRejections is added to the rejected requests of which the share that is retried is computed, so that the
	// first few do not decide it.
	priorRejections = 5.0
)

// admitExcess reports whether a request is admitted though it may be beyond the quota. The admission is certain if its
// expected value is at least its expected cost times the shadow price of its class, and less probable the lower the
// value is. Of the customers that are not known yet, a minimum share is admitted at any price.
func (g *Gateway) admitExcess(customer *customerState, class *classState, units float64) bool {
	plan, usage := customer.plan, customer.usage
	retryShare := g.updateRetryShare(customer, class, units)
	unknown := customer.meteredTime == 0 && len(customer.recentArrivals) == 0
	utilization := g.utilizationOf(customer)
	customer.recordArrival(g.now)
	usage.meanUnits += requestWeight * (units - usage.meanUnits)
	usage.meanSquaredUnits += requestWeight * (units*units - usage.meanSquaredUnits)
	excess, value := g.excessProbability(customer, &utilization, units), class.Value*plan.ValueFactor*units
	// The utilization counts admitted requests only; of all requests, the share of the eventual admission divided by
	// the utilization is within the quota.
	offer := budget.Offer{At: g.now, Value: value * (1 - excess + excess*plan.ExcessValueShare),
		Cost: value * excess * plan.ExcessCostShare,
		BudgetBase: value * usage.utilization.MeanShareWithin(utilizationGrid,
			eventualAdmission(usage.meanAdmission, retryShare))}
	if unknown {
		// minUnknownAdmission is a share of the clients, each of which may retry.
		offer.MinAdmission = minUnknownAdmission * (1 - retryShare) / (1 - minUnknownAdmission*retryShare)
	}
	g.pricing.requests++
	g.pricing.offers.Add(offer)
	probability := offer.AdmissionProbability(class.shadowPrice)
	valueWithinQuota := value * (1 - excess)
	class.admittedValue += eventualAdmission(probability, retryShare)*valueWithinQuota - classWeight*class.admittedValue
	class.requestedValue += valueWithinQuota - classWeight*class.requestedValue
	usage.meanAdmission += requestWeight * (probability - usage.meanAdmission)
	customer.admissionProbability = probability
	if probability < 1 && g.rng.Float64() >= probability {
		g.pricing.rejected++
		customer.rejectedClass, customer.rejectedUnits, customer.rejectedAt = class, units, g.now
		return false
	}
	return true
}

// eventualAdmission returns the probability that a client is admitted in the end, if each of its requests is admitted
// with the given probability and a rejected one is retried with the probability retryShare.
func eventualAdmission(probability, retryShare float64) float64 {
	return probability / (1 - (1-probability)*retryShare)
}

// updateRetryShare records whether a request is the client retry of one that was rejected for its price. It returns the
// share of such requests that are retried, through this gateway or another. Client retries are recognised by having
// the same class and units and coming within a second, as the Retry-After of such a rejection is mostly the latency of
// one answer.
func (g *Gateway) updateRetryShare(customer *customerState, class *classState, units float64) float64 {
	if customer.rejectedClass == class && customer.rejectedUnits == units && g.now-customer.rejectedAt < second {
		g.pricing.retried++
	}
	customer.rejectedClass = nil
	return min(maxRetryShare, g.pricing.retried/(g.pricing.rejected+priorRejections)/sameGatewayRetryShare)
}

// adjustPrice moves the shadow price halfway, on a logarithmic scale, towards the one at which the latest requests
// would have spent the budget. The price of a class of which less than minClassAdmission is admitted is lowered until
// that share is.
func (g *Gateway) adjustPrice() {
	pricing := &g.pricing
	// firstRequestShare is the share of the requests that are not client retries. The budget counts only these.
	firstRequestShare := 1 - min(maxRetryShare, pricing.retried/max(1, pricing.requests)/sameGatewayRetryShare)
	pricing.shadowPrice = math.Sqrt(pricing.shadowPrice *
		pricing.offers.Price(g.now-maxOfferAge, firstRequestShare*excessBudget, minPrice, maxPrice))
	for _, class := range g.orderedClasses {
		if class.requestedValue > 0 {
			relativeAdmission := class.admittedValue / class.requestedValue / minClassAdmission
			class.shadowPrice = max(1/maxPrice,
				min(pricing.shadowPrice, class.shadowPrice*min(classPriceStep, relativeAdmission*relativeAdmission)))
		}
	}
	for _, sum := range []*float64{&pricing.requests, &pricing.rejected, &pricing.retried} {
		*sum *= 1 - retryDecay
	}
}
