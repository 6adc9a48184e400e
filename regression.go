package lilacglade

// linearRegression is a linear regression over points whose weights decay exponentially: the work
// of a class's requests as a function of their cost hint. A point without a usable hint only
// updates the mean.
type linearRegression struct{ samples, meanX, meanY, meanXX, meanXY float64 }

// maxHintRatio is the multiple of the mean hint beyond which a hint is ignored.
const maxHintRatio = 20.0

// usable reports whether x is a hint that counts.
func (r *linearRegression) usable(x float64) bool {
	return x > 0 && (r.meanX == 0 || x <= maxHintRatio*r.meanX)
}

// add adds the point (x, y) with the weight gain, or with more as long as there are few points.
func (r *linearRegression) add(x, y, gain float64) {
	r.samples++
	weight := max(gain, 1/r.samples)
	if r.usable(x) && r.meanX == 0 {
		// Otherwise the first hint gives a slope from zero.
		r.meanX, r.meanXX, r.meanXY = x, x*x, x*r.meanY
	} else if !r.usable(x) {
		x = r.meanX
	}
	r.meanX += (x - r.meanX) * weight
	r.meanY += (y - r.meanY) * weight
	r.meanXX += (x*x - r.meanXX) * weight
	r.meanXY += (x*y - r.meanXY) * weight
}

// predict returns the value at x. The line neither falls nor starts below a twentieth of the mean.
func (r *linearRegression) predict(x float64) float64 {
	if !r.usable(x) {
		return r.meanY
	}
	slope := (r.meanXY - r.meanX*r.meanY) / max(1e-9, r.meanXX-r.meanX*r.meanX)
	slope = max(0, min(slope, 0.95*r.meanY/max(1e-9, r.meanX)))
	return r.meanY + slope*(x-r.meanX)
}
