/** Name of the protocol of offer connections, in the upgrade of an HTTP connection. */
export const offerProtocol = "catkinquay-offers";
