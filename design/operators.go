package design

import (
	. "goa.design/goa/v3/dsl"
)

var entityKind = func() {
	Enum("team", "model", "version", "adapter", "caller", "service", "upstream", "drain")
}

var entity = Type("Entity", func() {
	Description("A configured entity with its revision.")
	Attribute("kind", String, "Kind of entity.", entityKind)
	Attribute("name", String, "Key within the kind; \"model/version\" for a version.")
	Attribute("revision", UInt64, "Number of accepted changes; also the ETag.")
	Attribute("value", Any, "The entity's fields.")
	Required("kind", "name", "revision", "value")
})

var entityPage = Type("EntityPage", func() {
	Attribute("items", ArrayOf(entity))
	Attribute("next", String, "Value of \"after\" for the next page; absent on the last.")
	Required("items")
})

var changeResult = Type("ChangeResult", func() {
	Description("An accepted change.")
	Attribute("offset", Int64, "Place of the change in the log.")
	Attribute("revision", UInt64, "Revision that the change made.")
	Attribute("etag", String)
	Required("offset", "revision", "etag")
})

var statementResult = Type("StatementResult", func() {
	Attribute("columns", ArrayOf(String))
	Attribute("rows", ArrayOf(ArrayOf(Any)))
	Attribute("incomplete", ArrayOf(String), "Entries that did not answer in time.")
	Required("columns", "rows", "incomplete")
})

func operatorToken() {
	Attribute("authorization", String, "Bearer token of the operator.")
}

var _ = Service("operators", func() {
	Description("Queries and changes by operators.")

	Method("operate", func() {
		Description("Runs one statement of the operators' language.")
		Payload(func() {
			operatorToken()
			Attribute("statement", String, func() {
				Example("show loaded by model")
				MaxLength(16384)
			})
			Required("statement")
		})
		Result(statementResult)
		HTTP(func() {
			POST("/v1/operate")
			Header("authorization:Authorization")
			Response(StatusOK)
		})
	})

	Method("list", func() {
		Description("Lists the entities of a kind in order of name.")
		Payload(func() {
			operatorToken()
			Attribute("kind", String, entityKind)
			Attribute("after", String, "Name after which the page starts.")
			Attribute("limit", Int, func() {
				Minimum(1)
				Maximum(1000)
				Default(100)
			})
			Required("kind")
		})
		Result(entityPage)
		HTTP(func() {
			GET("/v1/admin/{kind}")
			Param("after")
			Param("limit")
			Header("authorization:Authorization")
			Response(StatusOK)
		})
	})

	Method("get", func() {
		Payload(func() {
			operatorToken()
			Attribute("kind", String, entityKind)
			Attribute("name", String)
			Required("kind", "name")
		})
		Result(func() {
			Attribute("entity", entity)
			Attribute("etag", String)
			Required("entity", "etag")
		})
		HTTP(func() {
			GET("/v1/admin/{kind}/{*name}")
			Header("authorization:Authorization")
			Response(StatusOK, func() {
				Header("etag:ETag")
				Body("entity")
			})
		})
	})

	Method("put", func() {
		Description("Creates an entity, or replaces the one whose ETag If-Match names.")
		Payload(func() {
			operatorToken()
			Attribute("kind", String, entityKind)
			Attribute("name", String)
			Attribute("if_match", String, "ETag of the entity that is replaced; absent to create.")
			Attribute("reason", String, "Why; kept in the audit trail.")
			Attribute("value", Any)
			Required("kind", "name", "value")
		})
		Result(changeResult)
		HTTP(func() {
			PUT("/v1/admin/{kind}/{*name}")
			Header("authorization:Authorization")
			Header("if_match:If-Match")
			Header("reason:Lagoon-Change-Reason")
			Body("value")
			Response(StatusOK, func() {
				Header("etag:ETag")
			})
		})
	})

	Method("delete", func() {
		Payload(func() {
			operatorToken()
			Attribute("kind", String, entityKind)
			Attribute("name", String)
			Attribute("if_match", String, "ETag of the entity that is deleted.")
			Attribute("reason", String, "Why; kept in the audit trail.")
			Required("kind", "name", "if_match")
		})
		Result(changeResult)
		HTTP(func() {
			DELETE("/v1/admin/{kind}/{*name}")
			Header("authorization:Authorization")
			Header("if_match:If-Match")
			Header("reason:Lagoon-Change-Reason")
			Response(StatusOK, func() {
				Header("etag:ETag")
			})
		})
	})
})
