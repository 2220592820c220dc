import type { DocumentSize } from "./document_size.ts";

const addressesPerSubnet = 250;
const backendServerPort = 9000;
const nodePort = 7000;
const slots = 12;
const coldSlots = 2;
const connections = 120;
const deadlineMilliseconds = 4000;

/**
 * Returns the text of a valid configuration of the given size. `variant` changes
 * the slots of one backend server, so that two documents differ in one part.
 */
export function createSizedDocument(
  size: DocumentSize,
  options: { readonly number: number; readonly variant: number },
): string {
  const getZoneName = (index: number) => `zone-${index % size.zones}`;
  const getServiceName = (index: number) => `service-${index % size.services}`;
  return JSON.stringify({
    format: 1,
    number: options.number,
    register: {
      zones: createList(size.zones, (index) => ({
        name: getZoneName(index),
        region: `region-${index % size.regions}`,
      })),
      services: createList(size.services, (index) => ({
        name: getServiceName(index),
      })),
      backendServers: createList(size.backendServers, (index) => ({
        name: `backend-server-${index}`,
        service: getServiceName(index),
        zone: getZoneName(Math.floor(index / size.services)),
        vm: `vm-${index}`,
        address: `${createIpAddress(index)}:${backendServerPort}`,
        nodeAddress: `${createIpAddress(index)}:${nodePort}`,
        slots: index === 0 ? slots + options.variant : slots,
        coldSlots,
        connections,
      })),
    },
    rules: {
      routes: createList(size.services, (index) => ({
        pathPrefix: `/${getServiceName(index)}`,
        service: getServiceName(index),
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

function createIpAddress(index: number): string {
  const subnet = Math.floor(index / addressesPerSubnet);
  return `10.0.${subnet}.${(index % addressesPerSubnet) + 1}`;
}
