package order

import (
	"context"
	"crypto/x509"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"otterturn/internal/certs/plan"
)

// FetchRenewalWindow fetches the authority's renewal information for a certificate (RFC 9773). ok is false if the
// authority does not offer it.
func (c *Client) FetchRenewalWindow(ctx context.Context, leaf *x509.Certificate) (w plan.Window, ok bool, err error) {
	var directory struct{ RenewalInfo string }
	if err := c.getJSON(ctx, c.authority.Directory, &directory); err != nil || directory.RenewalInfo == "" {
		return w, false, err
	}
	serial := leaf.SerialNumber.Bytes()
	if len(serial) == 0 || serial[0]&0x80 != 0 { // leading zero byte of the DER encoding of a positive integer
		serial = append([]byte{0}, serial...)
	}
	id := base64.RawURLEncoding.EncodeToString(leaf.AuthorityKeyId) + "." + base64.RawURLEncoding.EncodeToString(serial)
	var info struct {
		SuggestedWindow struct{ Start, End time.Time }
	}
	if err := c.getJSON(ctx, directory.RenewalInfo+"/"+id, &info); err != nil {
		return w, false, err
	}
	return plan.Window{Start: info.SuggestedWindow.Start, End: info.SuggestedWindow.End}, true, nil
}

func (c *Client) getJSON(ctx context.Context, url string, result any) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := c.acme.HTTPClient.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d", url, resp.StatusCode)
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxInfoBytes)).Decode(result)
}
