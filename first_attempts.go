package lilacglade

import "time"

// firstAttemptEstimator learns the budget that clients of one class usually grant to a first
// attempt, in order to tell how old a later attempt is. A client counts down one deadline over all
// its attempts: its first attempts get a usual fraction of it, and its last ones what remains. So
// retries need no mark.
type firstAttemptEstimator struct {
	bucketCounts [budgetBuckets]float64
	nextWeight   float64 // of the next attempt
	modeBucket   int     // bucket with the highest count
}

// Constants of firstAttemptEstimator.
const (
	budgetBuckets      = 64
	bucketWeightGrowth = 1.002 // factor from one attempt to the next, so that recent ones count more
	maxBucketWeight    = 1e12  // counts are scaled down beyond this weight
)

// elapsed returns the time since the client's first attempt, given the budget of an attempt: 0 if
// it is or may be a first attempt.
func (f *firstAttemptEstimator) elapsed(budget, deadline time.Duration) time.Duration {
	if budget <= 0 || budget > deadline {
		return 0
	}
	bucket := min(budgetBuckets-1, int(float64(budget)/float64(deadline)*budgetBuckets))
	f.nextWeight = max(1, f.nextWeight) * bucketWeightGrowth
	if f.bucketCounts[bucket] += f.nextWeight; f.bucketCounts[bucket] > f.bucketCounts[f.modeBucket] {
		f.modeBucket = bucket
	}
	if f.nextWeight > maxBucketWeight {
		for i := range f.bucketCounts {
			f.bucketCounts[i] /= f.nextWeight
		}
		f.nextWeight = 1
	}
	if bucket-f.modeBucket >= -1 && bucket-f.modeBucket <= 1 {
		return 0
	}
	return deadline - budget
}
