package ident

import (
	"cmp"
	"fmt"
	"net/url"
	"strings"
)

// Pool identifies the stage endpoints for which one batcher forms calls: those
// of a service in one data centre or, if DataCentre is empty, in all of them.
type Pool struct {
	Service    Service
	DataCentre DataCentre
}

// poolSeparator stands between the escaped parts of an encoded Pool.
const poolSeparator = "@"

// Compare orders pools by service and data centre.
func (p Pool) Compare(o Pool) int {
	return cmp.Or(cmp.Compare(p.Service, o.Service), cmp.Compare(p.DataCentre, o.DataCentre))
}

// String returns the pool's name in logs.
func (p Pool) String() string {
	text, _ := p.MarshalText()
	return string(text)
}

// MarshalText encodes the pool, so that it can be a key of a JSON object. A pool
// of all data centres is encoded as the name of its service.
func (p Pool) MarshalText() ([]byte, error) {
	text := url.QueryEscape(string(p.Service))
	if p.DataCentre != "" {
		text += poolSeparator + url.QueryEscape(string(p.DataCentre))
	}
	return []byte(text), nil
}

// UnmarshalText decodes what MarshalText encoded.
func (p *Pool) UnmarshalText(text []byte) error {
	service, centre, _ := strings.Cut(string(text), poolSeparator)
	name, err := url.QueryUnescape(service)
	if err != nil {
		return fmt.Errorf("pool %q: %w", text, err)
	}
	dataCentre, err := url.QueryUnescape(centre)
	if err != nil {
		return fmt.Errorf("pool %q: %w", text, err)
	}
	*p = Pool{Service: Service(name), DataCentre: DataCentre(dataCentre)}
	return nil
}
