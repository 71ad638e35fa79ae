package main

// operatorConfig returns an operator's configuration: one host with a route for each service and kind, such as
// /lookup/read/ and /lookup/change/.
func operatorConfig(version string, timeout string, services ...string) map[string]any {
	routes, all := map[string]any{}, map[string]any{}
	for _, s := range services {
		all[s] = map[string]any{"healthPath": "/health", "maxConnections": 652, "protocol": "h1", "tls": false}
		for path, kind := range map[string]string{"read": "idempotent", "change": "non_idempotent", "upload": "upload"} {
			routes["r-"+s+"-"+path] = map[string]any{"host": "site.example", "pathPrefix": "/" + s + "/" + path + "/", "kind": kind,
				"timeout": timeout, "targetLatency": "1500ms", "priority": 1, "service": s, "maxAttempts": 2}
		}
	}
	return map[string]any{"version": version, "routes": routes, "services": all,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"}}
}
