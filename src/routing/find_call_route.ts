import type { CallRoute } from "./call_route.ts";
import type { RouteTable } from "./route_table.ts";

const portSuffix = /:\d+$/;

/**
 * Returns the route of the host with the longest prefix of the path, or
 * undefined if no route matches.
 *
 * @param target Host header and request target. The query is ignored, and so is
 * the port unless a route names it.
 */
export function findCallRoute(
  table: RouteTable,
  target: { readonly host: string; readonly url: string },
): CallRoute | undefined {
  const host = target.host.toLowerCase();
  const prefixes = table.get(host) ?? table.get(host.replace(portSuffix, ""));
  if (prefixes === undefined) return undefined;
  const queryStart = target.url.indexOf("?");
  const path = queryStart < 0 ? target.url : target.url.slice(0, queryStart);
  // Every path prefix of a route ends with a slash, so only the parts of the path
  // up to one of its slashes can match. The longest is looked up first.
  for (
    let end = path.lastIndexOf("/");
    end >= 0;
    end = end === 0 ? -1 : path.lastIndexOf("/", end - 1)
  ) {
    const route = prefixes.get(path.slice(0, end + 1));
    if (route !== undefined) return route;
  }
  return undefined;
}
