//go:build review

package rig

// Config is the operator's configuration: a service of four plain replicas and one of engines, with the figures of the
// pages' sheet.
const Config = `{"version":7,"routes":[
{"name":"order","host":"a.example","pathPrefix":"/order/","kind":"unsafe","timeoutMs":8000,"targetLatencyMs":150,"priority":2,"service":"app","maxAttempts":1},
{"name":"status","host":"a.example","pathPrefix":"/status/","kind":"safe","timeoutMs":8000,"targetLatencyMs":150,"priority":2,"service":"app","maxAttempts":2},
{"name":"match","host":"a.example","pathPrefix":"/match/","kind":"streaming","timeoutMs":8000,"targetLatencyMs":250,"gapAimMs":200,"priority":0,"service":"lm","maxAttempts":1,"sessionAffinity":true,"resumable":false},
{"name":"summary","host":"a.example","pathPrefix":"/summary/","kind":"streaming","timeoutMs":8000,"targetLatencyMs":800,"gapAimMs":200,"priority":2,"service":"lm","maxAttempts":2,"sessionAffinity":true,"resumable":true}],
"services":[{"name":"app","healthCheckPath":"/health","maxConnections":110,"protocol":"h1","tls":false},
{"name":"lm","healthCheckPath":"/health","maxConnections":370,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacity":477670,"kvTokenBytes":163840,"linkMbps":1300000.0,"kvRetentionS":5.0,"reconfigureS":3.0,"models":[{"name":"m"}]}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`
