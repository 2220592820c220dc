import type { DocumentSize } from "./document_size.ts";

const addressesInBlock = 250;
const backendServerPort = 9000;
const nodePort = 7000;
const slots = 12;
const coldSlots = 2;
const connections = 120;
const deadlineMilliseconds = 4000;

/**
 * Returns the text of a valid configuration. `variant` alters the slots of one
 * backend server, so that documents that differ by one part can be made.
 */
export function createSizedDocument(
  size: DocumentSize,
  options: { readonly number: number; readonly variant: number },
): string {
  const zoneName = (index: number) => `zone-${index % size.zones}`;
  const serviceName = (index: number) => `service-${index % size.services}`;
  return JSON.stringify({
    format: 1,
    number: options.number,
    register: {
      zones: createList(size.zones, (index) => ({
        name: zoneName(index),
        region: `region-${index % size.regions}`,
      })),
      services: createList(size.services, (index) => ({
        name: serviceName(index),
      })),
      backendServers: createList(size.backendServers, (index) => ({
        name: `backend-server-${index}`,
        service: serviceName(index),
        zone: zoneName(Math.floor(index / size.services)),
        vm: `vm-${index}`,
        address: `${createHost(index)}:${backendServerPort}`,
        nodeAddress: `${createHost(index)}:${nodePort}`,
        slots: index === 0 ? slots + options.variant : slots,
        coldSlots,
        connections,
      })),
    },
    rules: {
      routes: createList(size.services, (index) => ({
        pathPrefix: `/${serviceName(index)}`,
        service: serviceName(index),
        priority: ["high", "normal", "low"][index % 3],
        deadlineMilliseconds,
        idempotentMethods: ["GET", "HEAD", "OPTIONS"],
        requireIdempotencyKey: true,
      })),
      zonesTakenOut: [],
      backendServersLeaving: [],
      retryBudgetPercent: 10,
    },
  });
}

function createList<T>(
  length: number,
  create: (index: number) => T,
): readonly T[] {
  return Array.from({ length }, (_, index) => create(index));
}

function createHost(index: number): string {
  const block = Math.floor(index / addressesInBlock);
  return `10.0.${block}.${(index % addressesInBlock) + 1}`;
}
