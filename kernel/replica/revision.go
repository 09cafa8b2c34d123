package replica

import (
	"fmt"

	"github.com/juju/errors"
)

// Revision is the platform's change counter, with the era of the store in its upper
// bits: after the store was restored from a copy, it gives lower numbers out again, in
// the next era. Every revision of an era is higher than those of earlier ones.
type Revision int64

// Era counts how often the store was restored.
type Era int64

// numberBits is the number of bits of a Revision that hold the store's own counter.
const numberBits = 40

// InEra returns the revision for a number of the store's counter in an era. It returns an
// error if either is out of range.
func InEra(era Era, number int64) (Revision, error) {
	if era < 0 || era >= 1<<(62-numberBits) || number < 0 || number >= 1<<numberBits {
		return 0, errors.Errorf("revision %d in era %d is out of range", number, era)
	}
	return Revision(int64(era)<<numberBits | number), nil
}

// Era returns the era of the store in which the revision was given out.
func (r Revision) Era() Era { return Era(r >> numberBits) }

// Number returns the store's own counter.
func (r Revision) Number() int64 { return int64(r) & (1<<numberBits - 1) }

// String returns the number, with the era before it unless that is the first.
func (r Revision) String() string {
	if r.Era() == 0 {
		return fmt.Sprint(r.Number())
	}
	return fmt.Sprintf("%d:%d", r.Era(), r.Number())
}
