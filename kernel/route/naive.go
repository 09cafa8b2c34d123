package route

// The naive policy picks a candidate uniformly at random, in any data centre. It is
// the baseline that other policies are compared with.
func init() {
	Register(&Policy{Name: "naive", Choose: chooseRandom})
}

func chooseRandom(in *PolicyInput) *Endpoint {
	if len(in.Candidates) == 0 {
		return nil
	}
	return in.Candidates[in.Random.IntN(len(in.Candidates))]
}
