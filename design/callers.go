package design

import (
	. "goa.design/goa/v3/dsl"
)

func requestAttributes() {
	Attribute("caller", String, "Name of the caller. The platform's load balancer vouches for it.")
	Attribute("deadline_ms", Int64, "Time that the caller waits for the whole answer; default 30000.", func() {
		Example(5000)
	})
	Attribute("priority", String, "Priority class; capped by the caller's configuration.", func() {
		Enum("high", "normal", "low")
	})
	Attribute("idempotency_key", String, "UUIDv7 that names a non-idempotent request.")
}

func requestHeaders() {
	Header("caller:Lagoon-Caller")
	Header("deadline_ms:Lagoon-Deadline-Ms")
	Header("priority:Lagoon-Priority")
	Header("idempotency_key:Idempotency-Key")
}

var modelInfo = Type("ModelInfo", func() {
	Attribute("id", String, "Name of the model or adapter.")
	Attribute("object", String, "Always \"model\".")
	Attribute("owned_by", String, "Team that owns it.")
	Attribute("parent", String, "Model of an adapter.")
	Required("id", "object", "owned_by")
})

var modelList = Type("ModelList", func() {
	Attribute("object", String, "Always \"list\".")
	Attribute("data", ArrayOf(modelInfo))
	Required("object", "data")
})

var _ = Service("callers", func() {
	Description("Requests of callers. Answers are relayed as the upstream sends them.")

	Method("completions", func() {
		Description("Completes a prompt. With \"stream\": true the answer is a stream of server-sent events.")
		Payload(requestAttributes)
		HTTP(func() {
			POST("/v1/completions")
			requestHeaders()
			SkipRequestBodyEncodeDecode()
			SkipResponseBodyEncodeDecode()
			Response(StatusOK)
		})
	})

	Method("chat", func() {
		Description("Answers a conversation. With \"stream\": true the answer is a stream of server-sent events.")
		Payload(requestAttributes)
		HTTP(func() {
			POST("/v1/chat/completions")
			requestHeaders()
			SkipRequestBodyEncodeDecode()
			SkipResponseBodyEncodeDecode()
			Response(StatusOK)
		})
	})

	Method("call", func() {
		Description("Calls a plain service. Status, headers and body are the service's own.")
		Payload(func() {
			requestAttributes()
			Attribute("service", String, "Name of the service.")
			Attribute("path", String, "Path below the service.")
			Required("service", "path")
		})
		HTTP(func() {
			GET("/v1/services/{service}/{*path}")
			POST("/v1/services/{service}/{*path}")
			PUT("/v1/services/{service}/{*path}")
			PATCH("/v1/services/{service}/{*path}")
			DELETE("/v1/services/{service}/{*path}")
			requestHeaders()
			SkipRequestBodyEncodeDecode()
			SkipResponseBodyEncodeDecode()
			Response(StatusOK)
		})
	})

	Method("models", func() {
		Description("Lists the models and adapters that can be asked for.")
		Result(modelList)
		HTTP(func() {
			GET("/v1/models")
			Response(StatusOK)
		})
	})
})

var _ = Service("health", func() {
	Description("Liveness and readiness of the process.")
	Method("live", func() {
		HTTP(func() {
			GET("/livez")
			Response(StatusNoContent)
		})
	})
	Method("ready", func() {
		Description("Fails while the configuration is not applied or the process is stopping.")
		Error("not_ready", ErrorResult)
		HTTP(func() {
			GET("/readyz")
			Response(StatusNoContent)
			Response("not_ready", StatusServiceUnavailable)
		})
	})
})
