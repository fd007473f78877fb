package migration

// Rules are the parameters of the decision. Times are in ms.
type Rules struct {
	Dwell          float64 // time for which all calls must come from a zone before the actor moves there
	MinCallShare   float64 // minimum share of the decayed calls that must come from that zone
	CallMemory     float64 // time constant with which past calls decay
	Cooldown       float64 // between two moves of an actor, doubled for each return to a zone that it left recently
	MoveRate       float64 // moves per second to, and from, one node
	MoveBurst      float64 // size of the token bucket of these moves
	MaxLoad        float64 // load from which on a node accepts no actors, from 0 to 1
	MinImprovement float64 // minimum difference in load for a move to another node of the same zone
}

// DefaultRules returns rules that suit mobile devices such as a tablet in the field.
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
