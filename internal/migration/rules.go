package migration

// Rules are the parameters of the decision. Times are ms.
type Rules struct {
	Dwell          float64 // time that a device is in a zone before its actor moves
	MinCallShare   float64 // part of its calls that come from there
	CallMemory     float64 // time constant with which past calls decay
	Cooldown       float64 // between two moves of an actor, doubled for each return to a zone that it left recently
	MoveRate       float64 // moves a second into, and out of, one node
	MoveBurst      float64 // moves at once
	MaxLoad        float64 // of 1, from which on a node takes no actor
	MinImprovement float64 // by which another node of the same zone has to be less loaded before an actor moves to it
}

// DefaultRules fit a tablet in the field.
func DefaultRules() Rules {
	return Rules{
		Dwell:          300,
		MinCallShare:   0.7,
		CallMemory:     2000,
		Cooldown:       2000,
		MoveRate:       200,
		MoveBurst:      50,
		MaxLoad:        0.9,
		MinImprovement: 0.4,
	}
}
