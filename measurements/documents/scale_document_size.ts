import type { DocumentSize } from "./document_size.ts";
import { twoYearSize } from "./two_year_size.ts";

const smallestServices = 4;
const smallestZones = 3;

/** Returns a size with the given number of backend servers and the rest in proportion to the two-year size. */
export function scaleDocumentSize(backendServers: number): DocumentSize {
  const share = backendServers / twoYearSize.backendServers;
  return {
    backendServers,
    services: Math.max(
      smallestServices,
      Math.round(twoYearSize.services * share),
    ),
    zones: Math.max(smallestZones, Math.round(twoYearSize.zones * share)),
    regions: Math.max(1, Math.round(twoYearSize.regions * share)),
  };
}
