import type { CallRoute } from "./call_route.ts";
import type { RouteTable } from "./route_table.ts";

/** Indexes routes by host and path prefix. Hosts are compared in lower case. */
export function createRouteTable(routes: readonly CallRoute[]): RouteTable {
  const hosts = new Map<string, Map<string, CallRoute>>();
  routes.forEach((route) => {
    const host = route.host.toLowerCase();
    const prefixes = hosts.get(host) ?? new Map<string, CallRoute>();
    prefixes.set(route.pathPrefix, route);
    hosts.set(host, prefixes);
  });
  return hosts;
}
