package route

// The naive policy takes any endpoint anywhere with equal chance. It exists
// to be compared against.
func init() {
	Register(&Policy{Name: "naive", Choose: chooseAny})
}

func chooseAny(c *PolicyInput) *Endpoint {
	if len(c.Candidates) == 0 {
		return nil
	}
	return c.Candidates[c.Random.IntN(len(c.Candidates))]
}
