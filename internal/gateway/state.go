package gateway

import (
	"math/rand/v2"
	"time"

	"herontiller/internal/budget"
	"herontiller/internal/ranked"
	"herontiller/internal/stats"
)

// What a gateway keeps. The decisions and the settings of the policy are in the policy files.

const highReserve, lowReserve, sharedPool = 0, 1, 2 // parts of the slots

type slot struct {
	part          int
	marked, freed bool
}

type class struct {
	Class
	admitted, asked      float64    // worth inside quotas, expected, fading
	shadowPrice          float64    // of what is beyond quotas, see affordable
	latency, bestLatency float64    // mean latency of answers, seconds; its slowly forgotten low mark
	first                []*request // sent once, in order; some have ended
}

type backend struct {
	BackendInfo
	rank        uint64        // this gateway's own order of the backends
	out         int           // this gateway's attempts out
	slow        float64       // running mean of latency over its class's mean
	overdue     float64       // answers owed since the last one, in mean answers
	overdueAt   time.Duration // when owed was brought up to now
	holdUntil   time.Duration // no sends before: refused or unreachable
	provenUntil time.Duration // its last answer vouches for it until then
	coldSince   time.Duration // when it started, as far as known
	cold        bool
	tokens      float64 // sends allowed while cold, as of tokensAt
	tokensAt    time.Duration
	lastBadAt   time.Duration // its last bad outcome
	unreached   int           // failed connections since the last answer
	outliers    int           // attempts cancelled since the last answer
}

type attempt struct {
	b           *backend
	slot        *slot
	sent        time.Duration
	open        bool
	countedLate bool // counted as late while still out
	superseded  bool // cancelled, to be made elsewhere
	result      Result
}

type request struct {
	id              RequestID
	seq             uint64
	class           *class
	customer        *customer
	units           float64
	deadline        time.Duration
	queued          bool // held in its customer's line, not yet sent
	attempts        []attempt
	ended, streamed bool
}

// out tells whether an attempt is out; there is never more than one.
func (r *request) out() bool { return len(r.attempts) > 0 && r.attempts[len(r.attempts)-1].open }

type sentUnits struct {
	at             time.Duration
	percentSeconds float64 // percent-seconds
}

type customer struct {
	limits
	plan         *Plan
	gateways     float64 // gateways that it uses
	seen         time.Duration
	open         int
	bucket       float64       // s: percent-seconds, as of storeAt
	bucketAt     time.Duration // the end of the last period that the meter reported
	passShare    float64       // f
	readAt       time.Duration // when the last reading was counted
	recentSends  []sentUnits   // this gateway's own sends since storeAt
	metered, own float64       // use by the meter and by this gateway's own count, fading
	meteredFor   float64       // seconds that the meter reported, fading
	lastReading  float64       // the value of that reading
	period       float64       // the meter's, seconds
	readings     stats.Weights // likelihood of the readings, where they tell of attempts out
	followedFrom time.Duration // about when the first period began that the meter reported
	units        float64       // of the last request
}

type tier struct {
	arrivals, worth float64 // of this window
	rate, mean      float64 // arrivals a second and mean worth of the last window
}

// Gateway makes the decisions of one gateway.
type Gateway struct {
	settings       Settings
	classes        map[string]*class
	byClass        []*class // in the order of the settings
	plans          map[string]*Plan
	rng            *rand.Rand
	now, startedAt time.Duration
	started        bool
	actions        []Action
	backends       map[BackendID]*backend
	listUntil      time.Duration // end of the lease of the list of backends
	requests       map[RequestID]*request
	bySeq          map[uint64]*request
	seq            uint64
	customers      map[CustomerID]*customer
	usage          map[*Plan]*planUsage
	metered        bool              // the meter ran before this gateway started
	population     *stats.Population // the use of the customer of a request, by plan
	price          excessPrice

	ranking                   ranked.List[*backend]       // by rank
	unavailable, coldBackends ranked.OrderedSet[*backend] // not ready; cold, and some that were

	recentValues []float64 // of the last medianOver arrivals
	medianValue  float64

	limit                    float64    // N; +Inf: unbounded
	partSize                 [3]float64 // n_h, n_l, pool
	inUse                    [3]int
	meanInUse                [3]float64 // used, on average over a small part's window, as of busyAt
	meanInUseAt              time.Duration
	marked                   int
	unmarked                 []*slot // low ones in the pool not yet marked, oldest first
	tiers                    [2]tier // low, high
	splitAt                  time.Duration
	meanLatency, bestLatency float64 // running mean latency of answers, 1/mu; its slowly forgotten low
	outcomes, badOutcomes    float64 // attempts ended, and badly, fading
	answerTime, sustainable  float64 // sum of the aims of a second's answers; its mean
	sends, sendRate          float64 // of this second; a second, on average
	ticks                    float64 // seconds counted so far
	cancelBudget             float64 // attempts that may be cancelled
}

// limits are this gateway's parts of a customer's hard limits, and what it has of them.
type limits struct {
	parts          float64 // that the ceiling is split into
	hasCeilingPart bool    // one of them is this gateway's
	ceilingLevel   float64 // what is left in it, as of ceilAt
	ceilingAt      time.Duration
	openLimit      int     // attempts that may be out here
	openCredit     float64 // where the part is less than one: the time of an attempt out saved up as of openAt, seconds
	openAt         time.Duration
	queue          []*request      // held until an attempt out ends; some have ended
	usage          *planUsage      // of the customer's plan
	arrivals       []time.Duration // of its latest requests here
	arrivalsFrom   time.Duration   // all since then are there
	admitted       float64         // probability that its last request was admitted with
	refused        *class          // of its last request, where that was refused as too costly, and its units
	refusedSize    float64
	refusedAt      time.Duration
}

// excessPrice is what a gateway keeps of the price of what it admits.
type excessPrice struct {
	shadow   float64
	offers   *budget.History // the latest requests
	requests float64         // fading: all
	rejected float64         // those rejected by their price
	returned float64         // those of clients that were rejected just before
}

// planUsage is what a gateway has learnt of the customers of a plan.
type planUsage struct {
	group          int            // number of the plan in the samples
	use            *stats.Weights // distribution of the use of the customer of a request
	units, squares float64        // mean units of a request, and their mean square
	admitted       float64        // mean probability of admission
}

// meanUse is the mean use of the customer of a request.
func (u *planUsage) meanUse() float64 { return u.use.Mean(usageGrid) }
