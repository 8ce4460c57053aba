// Every feature registers itself when it is loaded.
import "./streamDesk";
import "./shardDesk";
import "./grantDesk";
import "./routeDesk";
import "./taskDesk";
import "./ticketDesk";
import "./statusDesk";
import "./auditDesk";
