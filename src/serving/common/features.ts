// Loads all features; each registers itself with FeatureRegistry when it is loaded.
import "./streamHandler";
import "./shardHandler";
import "./grantHandler";
import "./routeHandler";
import "./taskHandler";
import "./ticketHandler";
import "./statusHandler";
import "./auditHandler";
