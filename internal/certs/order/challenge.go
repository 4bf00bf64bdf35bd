package order

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"golang.org/x/crypto/acme"

	"otterturn/internal/certs/plan"
)

// authorize completes one authorization: it proves to the authority that a name is under this client's control.
func (c *Client) authorize(ctx context.Context, url string, firstChallenge int, s Solver) error {
	authorization, err := c.acme.GetAuthorization(ctx, url)
	if err != nil {
		return fmt.Errorf("fetch the authorization: %w", err)
	}
	if authorization.Status == acme.StatusValid {
		return nil
	}
	var offerErr error
	for i := range challengeTypes {
		challengeType := challengeTypes[(firstChallenge+i)%len(challengeTypes)]
		index := slices.IndexFunc(authorization.Challenges, func(ch *acme.Challenge) bool { return ch.Type == challengeType })
		if index < 0 {
			continue
		}
		answer, err := c.newChallenge(challengeType, authorization.Identifier.Value, authorization.Challenges[index].Token)
		if err != nil {
			return withKind(plan.Local, err)
		}
		withdraw, err := s.Offer(answer)
		if err != nil {
			offerErr = errors.Join(offerErr, err)
			continue
		}
		defer withdraw()
		if _, err := c.acme.Accept(ctx, authorization.Challenges[index]); err != nil {
			return fmt.Errorf("accept the challenge: %w", err)
		}
		return c.waitForValidation(ctx, url, authorization.Identifier.Value)
	}
	return withKind(plan.Local, fmt.Errorf("no challenge for %s can be answered: %w", authorization.Identifier.Value, offerErr))
}

func (c *Client) newChallenge(challengeType, name, token string) (Challenge, error) {
	out := Challenge{Type: challengeType, Name: name}
	var err error
	if challengeType == "http-01" {
		out.Path = c.acme.HTTP01ChallengePath(token)
		out.Text, err = c.acme.HTTP01ChallengeResponse(token)
		return out, err
	}
	cert, err := c.acme.TLSALPN01ChallengeCert(token, name)
	out.Certificate = &cert
	return out, err
}

// waitForValidation waits until the authority has validated a name or rejected it.
func (c *Client) waitForValidation(ctx context.Context, url, name string) error {
	return c.poll(ctx, func() (bool, error) {
		authorization, err := c.acme.GetAuthorization(ctx, url)
		if err != nil {
			return false, fmt.Errorf("fetch the state of the authorization: %w", err)
		}
		switch authorization.Status {
		case acme.StatusValid:
			return true, nil
		case acme.StatusPending, acme.StatusProcessing:
			return false, nil
		}
		for _, ch := range authorization.Challenges {
			if ch.Error != nil {
				return false, withKind(plan.Unreachable, fmt.Errorf("validating %s by %s failed: %w", name, ch.Type, ch.Error))
			}
		}
		return false, withKind(plan.Invalid, fmt.Errorf("authorization for %s is %s", name, authorization.Status))
	})
}
