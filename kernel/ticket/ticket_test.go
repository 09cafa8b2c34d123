package ticket

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"anvilcross/kernel/ident"
)

var (
	key   = []byte("0123456789abcdef")
	valid = Ticket{Instance: "dolny-a-1", Incarnation: 42, Sequence: 7, IssuedAt: time.UnixMilli(1_800_000_000_000)}
)

func TestDecode(t *testing.T) {
	Convey("A ticket comes back as it was issued", t, func() {
		got, err := Decode(key, "shop", Encode(key, "shop", valid))
		So(err, ShouldBeNil)
		So(got, ShouldResemble, valid)
	})
	Convey("A ticket of another workspace is refused", t, func() {
		_, err := Decode(key, "other", Encode(key, "shop", valid))
		So(err, ShouldNotBeNil)
	})
	Convey("A changed ticket is refused", t, func() {
		id := []byte(Encode(key, "shop", valid))
		id[5] ^= 1
		_, err := Decode(key, "shop", ident.RequestID(id))
		So(err, ShouldNotBeNil)
	})
}

func FuzzDecode(f *testing.F) {
	f.Add(string(Encode(key, "shop", valid)))
	f.Add("tk.a.b.c.d.e")
	f.Fuzz(func(t *testing.T, text string) {
		got, err := Decode(key, "shop", ident.RequestID(text))
		if err == nil && string(Encode(key, "shop", got)) != text {
			t.Errorf("accepted %q, which is not how the ticket is written", text)
		}
	})
}
