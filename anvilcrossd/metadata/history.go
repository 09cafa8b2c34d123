package metadata

import (
	"context"
	"slices"

	"github.com/juju/errors"

	"anvilcross/kernel/replica"
	"anvilcross/platform"
)

// firstNumber is the store's counter before the first change that its history can tell.
const firstNumber = 1

// ReadHistory returns all changes up to a revision that the store's history still has, in their order.
// The cause of its error is platform.ErrHistoryGone if the history does not reach back to that
// revision. The store does not tell where its history begins, so that is searched for.
func ReadHistory(ctx context.Context, s platform.Store, upTo replica.Revision) ([]replica.Change, error) {
	changes, err := changesBetween(ctx, s, upTo, upTo)
	if err != nil {
		return nil, errors.Trace(err)
	}
	known, gone := upTo.Number(), int64(firstNumber-1)
	for step := int64(1); known > firstNumber && known-gone > 1; step *= 2 {
		number := max(known-step, firstNumber)
		if gone >= firstNumber {
			number = (known + gone) / 2
		}
		after, err := replica.InEra(upTo.Era(), number)
		if err != nil {
			return nil, errors.Trace(err)
		}
		older, err := changesBetween(ctx, s, after, upTo)
		switch {
		case err == nil:
			changes, known = older, number
		case errors.Cause(err) == platform.ErrHistoryGone:
			gone = number
		default:
			return nil, errors.Trace(err)
		}
	}
	return changes, nil
}

// changesBetween returns the changes after a revision and up to another one.
func changesBetween(ctx context.Context, s platform.Store, after, upTo replica.Revision) ([]replica.Change, error) {
	var changes []replica.Change
	for {
		page, asOf, err := s.Changes(ctx, after)
		if err != nil {
			return nil, errors.Trace(err)
		}
		changes = append(changes, page...)
		if asOf >= upTo || asOf <= after {
			return slices.DeleteFunc(changes, func(c replica.Change) bool { return c.Revision > upTo }), nil
		}
		after = asOf
	}
}
