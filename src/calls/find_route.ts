import type { Route } from "../configuration/route.ts";

/** Returns the first route that matches the host (without port, in lower case) and the path. */
export function findRoute(
  routes: readonly Route[],
  host: string,
  path: string,
): Route | undefined {
  return routes.find((route) =>
    (route.host === undefined || route.host === host) &&
    hasPathPrefix(path, route.pathPrefix)
  );
}

function hasPathPrefix(path: string, prefix: string): boolean {
  if (prefix === "/") {
    return true;
  }
  return path.startsWith(prefix) &&
    (path.length === prefix.length || path[prefix.length] === "/" ||
      prefix.endsWith("/"));
}
