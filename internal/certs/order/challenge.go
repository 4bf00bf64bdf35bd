package order

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"golang.org/x/crypto/acme"

	"otterturn/internal/certs/plan"
)

// prove completes one authorization: it proves to the authority that a name is under this client's control.
func (c *Client) prove(ctx context.Context, url string, first int, s Solver) error {
	z, err := c.acme.GetAuthorization(ctx, url)
	if err != nil {
		return fmt.Errorf("fetch the authorization: %w", err)
	}
	if z.Status == acme.StatusValid {
		return nil
	}
	var unable error
	for i := range kinds {
		kind := kinds[(first+i)%len(kinds)]
		at := slices.IndexFunc(z.Challenges, func(ch *acme.Challenge) bool { return ch.Type == kind })
		if at < 0 {
			continue
		}
		offer, err := c.challenge(kind, z.Identifier.Value, z.Challenges[at].Token)
		if err != nil {
			return fail(plan.Local, err)
		}
		withdraw, err := s.Offer(offer)
		if err != nil {
			unable = errors.Join(unable, err)
			continue
		}
		defer withdraw()
		if _, err := c.acme.Accept(ctx, z.Challenges[at]); err != nil {
			return fmt.Errorf("accept the challenge: %w", err)
		}
		return c.proven(ctx, url, z.Identifier.Value)
	}
	return fail(plan.Local, fmt.Errorf("no challenge for %s can be answered: %w", z.Identifier.Value, unable))
}

func (c *Client) challenge(kind, name, token string) (Challenge, error) {
	out := Challenge{Kind: kind, Name: name}
	var err error
	if kind == "http-01" {
		out.Path = c.acme.HTTP01ChallengePath(token)
		out.Text, err = c.acme.HTTP01ChallengeResponse(token)
		return out, err
	}
	cert, err := c.acme.TLSALPN01ChallengeCert(token, name)
	out.Certificate = &cert
	return out, err
}

// proven waits until the authority has validated a name or rejected it.
func (c *Client) proven(ctx context.Context, url, name string) error {
	return c.poll(ctx, func() (bool, error) {
		z, err := c.acme.GetAuthorization(ctx, url)
		if err != nil {
			return false, fmt.Errorf("fetch the state of the authorization: %w", err)
		}
		switch z.Status {
		case acme.StatusValid:
			return true, nil
		case acme.StatusPending, acme.StatusProcessing:
			return false, nil
		}
		for _, ch := range z.Challenges {
			if ch.Error != nil {
				return false, fail(plan.Unreachable, fmt.Errorf("validating %s by %s failed: %w", name, ch.Type, ch.Error))
			}
		}
		return false, fail(plan.Invalid, fmt.Errorf("authorization for %s is %s", name, z.Status))
	})
}
