package rpc

import "github.com/lagoonvalve/lagoonvalve/internal/decide/quota"

// QuotaParams requests tokens of teams' quotas from the controller.
type QuotaParams = quota.Ask

// QuotaResult answers QuotaParams.
type QuotaResult = quota.Answer
