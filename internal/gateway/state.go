package gateway

import (
	"math/rand/v2"
	"time"

	"herontiller/internal/budget"
	"herontiller/internal/ranked"
	"herontiller/internal/stats"
)

// The state of a Gateway. The decisions and their constants are in the files that deploy/balancer.toml lists as policy.

// Indices of the partitions of the slots of the concurrency limit: a reserve for each tier, and a shared pool.
const highReserve, lowReserve, sharedPool = 0, 1, 2

// heldSlot is a slot of the concurrency limit that an attempt of a request holds, and after it the retry.
type heldSlot struct {
	partition int  // highReserve, lowReserve or sharedPool
	marked    bool // sub-rated in favour of a request of the high tier
	freed     bool // released by freeSlot
}

// classState is a class and what the gateway has measured of its requests.
type classState struct {
	Class
	admittedValue  float64         // expected value within quotas that is admitted, decaying sum
	requestedValue float64         // value within quotas that is requested, decaying sum
	shadowPrice    float64         // shadow price of excess for the class, see adjustPrice
	meanLatency    float64         // running mean latency of answers, seconds
	minLatency     float64         // lowest meanLatency, rising slowly to follow changes, seconds
	firstAttempts  []*requestState // requests in the order of their first attempts, some of which have ended
}

// trackedBackend is a backend of the list and what the gateway has measured of it.
type trackedBackend struct {
	BackendInfo
	rank            uint64        // position in this gateway's own random order of the backends
	inFlight        int           // attempts of this gateway in flight
	slowness        float64       // running mean of the latency over the mean latency of its class
	overdue         float64       // answers that were due since the last one, see updateOverdue
	overdueAt       time.Duration // when overdue was last updated
	backoffUntil    time.Duration // nothing is sent before then, as it rejected an attempt or could not be reached
	confirmedUntil  time.Duration // until then its last answer proves that it is not draining
	coldSince       time.Duration // when its process started, as far as known
	cold            bool          // still warming up
	tokens          float64       // sends that are allowed while it is cold, as of tokensAt
	tokensAt        time.Duration
	lastBadAt       time.Duration // time of its last bad outcome; 0: none
	connectFailures int           // failed connections since the last answer, at most downAfterFailures
	outlierCount    int           // attempts cancelled as too slow since the last answer
}

// attemptState is an attempt of a request.
type attemptState struct {
	backend     *trackedBackend
	slot        *heldSlot
	sentAt      time.Duration
	inFlight    bool
	countedLate bool // counted as a bad outcome for being late while still in flight
	superseded  bool // cancelled by cancelSlow, to be repeated at another backend
	result      Result
}

// requestState is a request that was admitted or queued.
type requestState struct {
	id       RequestID
	seq      uint64 // its key in requestsBySeq and the token of its timers
	class    *classState
	customer *customerState
	units    float64       // cost in units of the quota
	deadline time.Duration // when its client times out
	queued   bool          // waits in its customer's queue and has not been sent
	attempts []attemptState
	ended    bool
	streamed bool // its answer has begun
}

// inFlight reports whether an attempt is in flight. There is never more than one.
func (r *requestState) inFlight() bool {
	return len(r.attempts) > 0 && r.attempts[len(r.attempts)-1].inFlight
}

// sentUnits is the cost of a request that this gateway sent.
type sentUnits struct {
	at             time.Duration
	percentSeconds float64 // units in percent-seconds of the plan's rate
}

// customerState is a customer as seen by this gateway.
type customerState struct {
	localState
	plan            *Plan
	gateways        float64       // number of gateways that it uses
	lastSeen        time.Duration // when its last request arrived
	inFlight        int           // attempts of this gateway in flight
	sent            bool          // an attempt has been sent for it
	meteredLevel    float64       // level of its token bucket at meteredUntil, percent-seconds of the rate
	meteredUntil    time.Duration // end of the last period that the meter reported
	passProbability float64       // f, the share of its requests that passes while its bucket is empty
	lastReadingAt   time.Duration // when the last reading was counted
	recentSends     []sentUnits   // this gateway's sends since meteredUntil
	meteredUse      float64       // use that the meter reported, percent-seconds, decaying sum
	ownUse          float64       // use through this gateway in the same periods, percent-seconds, decaying sum
	meteredTime     float64       // length of these periods, seconds, decaying sum
	lastReading     float64       // last reading, percent of the rate
	meterPeriod     float64       // period of the meter, seconds
	// readingsLikelihood is the likelihood of the readings at each utilization, for plans without a rate only.
	readingsLikelihood stats.Weights
	meteredSince       time.Duration // approximate start of the first period that the meter reported
	lastUnits          float64       // units of its last request
}

// isUnsent reports whether no attempt has ever been sent for the customer and none of its requests is queued.
func (c *customerState) isUnsent() bool { return !c.sent && len(c.queue) == 0 }

// tierLoad is the load of one of the two tiers of requests.
type tierLoad struct {
	arrivals    float64 // arrivals in the present window
	value       float64 // sum of the values of these arrivals
	arrivalRate float64 // arrivals per second in the last window
	meanValue   float64 // mean value of an arrival in the last window that had any
}

// Gateway makes the decisions of one gateway.
type Gateway struct {
	settings           Settings
	classes            map[string]*classState // by name
	orderedClasses     []*classState          // in the order of the settings
	plans              map[string]*Plan       // by name
	rng                *rand.Rand
	now                time.Duration // time of the present event
	startedAt          time.Duration
	initialized        bool // the first event has been handled
	actions            []Action
	backends           map[BackendID]*trackedBackend
	listValidUntil     time.Duration // end of the lease of the list of backends
	listExpiresAt      time.Duration // from then on no backend is confirmed, unless discovery sends a list before
	requests           map[RequestID]*requestState
	requestsBySeq      map[uint64]*requestState
	lastSeq            uint64 // seq of the last request
	customers          map[CustomerID]*customerState
	planUsages         map[*Plan]*planUsage
	meteredBeforeStart bool              // the meter ran before this gateway started
	population         *stats.Population // distribution of the utilization of a request's customer, by plan
	pricing            excessPricing

	ranking      ranked.List[*trackedBackend]       // by rank
	unavailable  ranked.OrderedSet[*trackedBackend] // backends that are not Ready
	coldBackends ranked.OrderedSet[*trackedBackend] // cold backends and some that have warmed up since

	recentValues []float64 // values of the last medianWindow arrivals
	medianValue  float64   // median of recentValues at the last tick, the boundary between the tiers

	concurrencyLimit float64    // N; +Inf: unbounded
	partitionSize    [3]float64 // slots of each partition: the high reserve, the low reserve and the pool
	inUse            [3]int     // slots of each partition in use
	meanInUse        [3]float64 // slots in use, averaged over a window in a small partition, as of meanInUseAt
	meanInUseAt      time.Duration
	markedCount      int         // marked slots in use
	unmarkedSlots    []*heldSlot // slots of low requests in the pool that are not marked, oldest first; some are freed
	tiers            [2]tierLoad // low, high
	lastSplitAt      time.Duration
	meanLatency      float64 // running mean latency of answers, seconds
	minLatency       float64 // lowest meanLatency, rising slowly to follow changes, seconds
	outcomes         float64 // attempts that ended (but not by Cancelled or NotSent) or became late, decaying sum
	badOutcomes      float64 // outcomes that were late or rejected, decaying sum
	lateAgeSum       float64 // sum of the late ages of the classes of this second's answers, seconds
	sustainableLimit float64 // mean of lateAgeSum per second: the attempts in flight that can end without being late
	sends            float64 // sends in this second
	sendRate         float64 // mean sends per second
	ticks            float64 // seconds counted so far
	cancelBudget     float64 // attempts that may be cancelled as too slow, see cancelSlow
}

// localState is the part of customerState that the hard limits and the price of excess need: this gateway's shares of
// the customer's hard limits and its use of them, the customer's queue, what is known of its plan's customers, and what
// this gateway has observed of its requests.
type localState struct {
	ceilingShareCount float64 // number of shares that the ceiling's bucket is split into
	hasCeilingShare   bool    // this gateway has one of them
	ceilingLevel      float64 // level of its share of the ceiling's bucket, as of ceilingLevelAt, units
	ceilingLevelAt    time.Duration
	inFlightLimit     int // attempts that may be in flight through this gateway
	// inFlightCredit is the time of an attempt in flight that is saved up as of inFlightCreditAt, in seconds, where
	// this gateway's share of MaxInFlight is less than one.
	inFlightCredit       float64
	inFlightCreditAt     time.Duration
	queue                []*requestState // requests that wait for an attempt to end; some have ended
	usage                *planUsage      // of the customer's plan
	recentArrivals       []time.Duration // times of its latest requests through this gateway
	arrivalsSince        time.Duration   // recentArrivals is complete since then
	admissionProbability float64         // probability with which its last request was admitted
	rejectedClass        *classState     // class of its last request if that was rejected for its price, else nil
	rejectedUnits        float64         // units of that request
	rejectedAt           time.Duration   // when it was rejected
}

// excessPricing is the state of the pricing of requests beyond their quota.
type excessPricing struct {
	shadowPrice float64
	offers      *budget.History // the latest requests
	requests    float64         // all requests, decaying sum
	rejected    float64         // requests rejected for their price, decaying sum
	retried     float64         // client retries shortly after such a rejection, decaying sum
}

// planUsage is what a gateway has learnt about the customers of a plan. Utilization is a customer's use over all
// gateways, in multiples of its quota. Its distribution is over requests: customers that send more weigh more.
type planUsage struct {
	populationGroup  int            // group of the plan in Gateway.population
	utilization      *stats.Weights // distribution of the utilization of a request's customer
	meanUnits        float64        // running mean of the units of a request
	meanSquaredUnits float64        // running mean of the squared units of a request
	meanAdmission    float64        // running mean of the probability of admission
}

// meanUtilization returns the mean utilization of the quota by the customer of a request, in multiples of the quota.
func (u *planUsage) meanUtilization() float64 { return u.utilization.Mean(utilizationGrid) }
